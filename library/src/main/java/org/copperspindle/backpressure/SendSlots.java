package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * The send times of requests to the upstreams whose limits this node owns. They are evenly spaced, since an upstream
 * that signals backpressure enforces its limit in every time window, not on average.
 *
 * <p>Two nodes can own a limit at the same time, one on each side of a network partition, and a node that takes over
 * doesn't know the permits of its predecessor. So each owner uses only a share of the limit and starts one interval
 * after the first request.
 */
final class SendSlots {

    /** Share of the limit that is granted: an upstream can still take twice this in a window of some seconds. */
    private static final double USED_SHARE = 0.75;

    /** Minimum rate: an upstream that gets no requests could never signal that it accepts them again. */
    private static final double MIN_PER_SECOND = 0.25;

    /**
     * Maximum time ahead for which slots are reserved: the reservations of a predecessor come on top of those of its
     * successor.
     */
    private static final long MAX_AHEAD_NANOS = Duration.ofMillis(1500).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Long> lastSlots = new HashMap<>();

    /**
     * Reserves the next send time of an upstream.
     *
     * @param upstream id of the upstream
     * @param spacing  nanoseconds between two requests to it
     * @param maxWait  maximum nanoseconds until that time
     * @param now      monotonic time in nanoseconds
     * @return nanoseconds until that time; empty if it is later than allowed
     */
    OptionalLong reserve(String upstream, long spacing, long maxWait, long now) {
        long wait = waitNanos(upstream, spacing, now);
        if (wait > Math.min(maxWait, MAX_AHEAD_NANOS)) {
            return OptionalLong.empty();
        }
        lastSlots.put(upstream, now + wait);
        return OptionalLong.of(wait);
    }

    /** Returns the nanoseconds until the next send time of an upstream. */
    long waitNanos(String upstream, long spacing, long now) {
        long last = lastSlots.computeIfAbsent(upstream, id -> now);
        return Math.max(0, last + spacing - now);
    }

    /** Removes upstreams; a later request for one of them starts anew. */
    void forgetIf(Predicate<String> isForgotten) {
        lastSlots.keySet().removeIf(isForgotten);
    }

    /** Returns the nanoseconds between two requests at a given limit. */
    static long spacingNanos(double perSecond) {
        return (long) (NANOS_PER_SECOND / (USED_SHARE * Math.max(MIN_PER_SECOND, perSecond)));
    }
}
