package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * The moments in which requests go to the upstreams that this node keeps. They are spaced evenly, since an upstream in need counts in
 * every window and not on average.
 *
 * <p>Two nodes can keep an upstream at the same time, one in each part of a divided deployment, and a node that takes over
 * doesn't know what its predecessor gave out. So each uses a part of the limit only, and begins one interval after it was
 * first asked.
 */
final class SendSlots {

    /** Part of the limit that is given out: twice that is still what an upstream bears in a window of seconds. */
    private static final double USED = 0.75;

    /** Least rate: an upstream that gets nothing could never say that it takes requests again. */
    private static final double LEAST_PER_SECOND = 0.25;

    /**
     * Moments are promised so far ahead at most. What a predecessor has promised comes on top of what its successor gives out.
     */
    private static final long AHEAD_NANOS = Duration.ofMillis(1500).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Long> lastSlots = new HashMap<>();

    /**
     * Reserves the next moment of an upstream.
     *
     * @param upstream    its id
     * @param spacing     nanoseconds between two requests to it
     * @param longestWait nanoseconds until that moment at most
     * @param now         monotonic time in nanoseconds
     * @return nanoseconds until the moment; empty if it is later
     */
    OptionalLong reserve(String upstream, long spacing, long longestWait, long now) {
        long wait = waitNanos(upstream, spacing, now);
        if (wait > Math.min(longestWait, AHEAD_NANOS)) {
            return OptionalLong.empty();
        }
        lastSlots.put(upstream, now + wait);
        return OptionalLong.of(wait);
    }

    /** Returns nanoseconds until the next moment of an upstream. */
    long waitNanos(String upstream, long spacing, long now) {
        long last = lastSlots.computeIfAbsent(upstream, id -> now);
        return Math.max(0, last + spacing - now);
    }

    /** Forgets upstreams; if this node is asked for them again, it begins anew. */
    void forgetIf(Predicate<String> isForgotten) {
        lastSlots.keySet().removeIf(isForgotten);
    }

    /** Returns the nanoseconds between two requests at a limit. */
    static long spacingNanos(double perSecond) {
        return (long) (NANOS_PER_SECOND / (USED * Math.max(LEAST_PER_SECOND, perSecond)));
    }
}
