package org.copperspindle.coldstart;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The times of this node's recent requests to each upstream, as a sliding window of single requests: with fixed
 * buckets, two bursts at the edges of a bucket would pass.
 */
final class RecentSends {

    /**
     * Length of the window. It is longer than the one second in which upstreams count, since two requests that were
     * sent more than a second apart may arrive closer together.
     */
    private static final long WINDOW_NANOS = Duration.ofMillis(1200).toNanos();

    private final Map<String, Deque<Long>> sends = new HashMap<>();

    void add(String upstream, long now) {
        Deque<Long> times = sends.computeIfAbsent(upstream, id -> new ArrayDeque<>());
        dropOld(times, now);
        times.addLast(now);
        if (sends.size() > 1 && times.size() == 1) {
            sends.values().removeIf(others -> others != times && isExpired(others, now));
        }
    }

    int count(String upstream, long now) {
        Deque<Long> times = sends.get(upstream);
        if (times == null) {
            return 0;
        }
        dropOld(times, now);
        return times.size();
    }

    private static void dropOld(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() >= WINDOW_NANOS) {
            times.pollFirst();
        }
    }

    private static boolean isExpired(Deque<Long> times, long now) {
        return times.isEmpty() || now - times.peekLast() >= WINDOW_NANOS;
    }
}
