package org.copperspindle.gateway;

import java.util.HashMap;
import java.util.Map;

import org.copperspindle.route.Route;

/**
 * Moving average, by route, of the duration of streams after their first event, as this node measures it. A stream
 * that would not end before its caller leaves is useless to that caller, however early it starts.
 */
final class StreamDurations {

    /** Weight of the newest sample. */
    private static final double WEIGHT = 0.1;

    private final Map<String, Double> means = new HashMap<>();

    /** Records the duration of a stream that was relayed to its end. */
    void observe(Route route, long nanos) {
        means.merge(route.name(), (double) nanos, (mean, newest) -> mean + WEIGHT * (newest - mean));
    }

    /** Returns the expected duration in nanoseconds; 0 before the first stream has ended. */
    long expectedNanos(Route route) {
        return means.getOrDefault(route.name(), 0.0).longValue();
    }
}
