package org.copperspindle.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.copperspindle.engineload.EnginePrompt;

/**
 * An engine that reads prompts one after the other and is slowed at random by its neighbours.
 */
final class ReplayedEngine {

    private static final int CACHED_PARTS = 24;
    private static final double NOISE_FACTOR = 2.5;
    private static final double NOISE_SHARE = 0.15;
    private static final long MIN_NOISE_MILLIS = 200;
    private static final long MAX_NOISE_MILLIS = 600;

    private final double tokensPerMilli;
    private final List<long[]> noise = new ArrayList<>();
    private final Set<String> cached = new LinkedHashSet<>();
    private double busyUntil;
    private int partsRead;

    ReplayedEngine(double tokensPerMilli, boolean noisy, long horizonMillis, Random random) {
        this.tokensPerMilli = tokensPerMilli;
        double meanGap = (MIN_NOISE_MILLIS + MAX_NOISE_MILLIS) / 2.0 * (1 - NOISE_SHARE) / NOISE_SHARE;
        for (long at = 0; noisy && at < horizonMillis; ) {
            long begin = at + (long) (2 * meanGap * random.nextDouble());
            at = begin + random.nextLong(MIN_NOISE_MILLIS, MAX_NOISE_MILLIS);
            noise.add(new long[] {begin, at});
        }
    }

    // Reads a prompt; returns the time in milliseconds at which that is done.
    double read(EnginePrompt prompt, double now) {
        busyUntil = finish(Math.max(now, busyUntil), unreadTokens(prompt) / tokensPerMilli);
        return busyUntil;
    }

    // Caches the shared part of a prompt; returns the tokens that are to be read.
    long unreadTokens(EnginePrompt prompt) {
        boolean hit = cached.remove(prompt.shared());
        cached.add(prompt.shared());
        if (cached.size() > CACHED_PARTS) {
            cached.remove(cached.iterator().next());
        }
        partsRead += hit ? 0 : 1;
        return hit ? prompt.tokens() - prompt.sharedTokens() : prompt.tokens();
    }

    double tokensPerMilli() {
        return tokensPerMilli;
    }

    int partsRead() {
        return partsRead;
    }

    // Returns when work that takes so long on an undisturbed engine is done.
    double finish(double from, double workMillis) {
        double at = from;
        double left = workMillis;
        for (long[] period : noise) {
            if (period[1] <= at) {
                continue;
            }
            double free = Math.max(0, period[0] - at);
            if (left <= free) {
                return at + left;
            }
            left -= free;
            at = Math.max(at, period[0]);
            double slowed = (period[1] - at) / NOISE_FACTOR;
            if (left <= slowed) {
                return at + left * NOISE_FACTOR;
            }
            left -= slowed;
            at = period[1];
        }
        return at + left;
    }
}
