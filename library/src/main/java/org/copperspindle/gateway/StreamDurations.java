package org.copperspindle.gateway;

import java.util.HashMap;
import java.util.Map;

import org.copperspindle.route.Route;

/**
 * How long the streams of each route take from their first event to their end, as this node sees it. A stream that would not end
 * before its caller leaves is of no use to it, however soon it begins.
 */
final class StreamDurations {

    /** Weight of the newest stream. */
    private static final double WEIGHT = 0.1;

    private final Map<String, Double> means = new HashMap<>();

    /** Notes a stream that was passed on to its end. */
    void seen(Route route, long nanos) {
        means.merge(route.name(), (double) nanos, (old, newest) -> old + WEIGHT * (newest - old));
    }

    /** Returns the time that is to be expected, in nanoseconds; 0 before the first stream has ended. */
    long expectedNanos(Route route) {
        return means.getOrDefault(route.name(), 0.0).longValue();
    }
}
