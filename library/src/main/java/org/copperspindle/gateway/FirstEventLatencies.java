package org.copperspindle.gateway;

import java.util.HashMap;
import java.util.Map;

import org.copperspindle.route.Route;

/**
 * How long the upstreams of each route take from an attempt to the first event, as this node sees it: the end of the
 * shortest way of a request. Prompts of one route take 100 ms, those of another 230 ms on the same engines.
 */
final class FirstEventLatencies {

    /** Part of the objective that is assumed before an answer was seen: engines read most prompts in less. */
    private static final double ASSUMED_PART = 0.1;

    /** Most that counts, as a part of the objective: one engine in trouble must not make every request look late. */
    private static final double MOST_PART = 0.3;

    /** Weight of the newest answer: a mean over the last ten follows a burst of long prompts within seconds. */
    private static final double WEIGHT = 0.1;

    private final Map<String, Double> means = new HashMap<>();

    /** Notes an answer of an upstream. */
    void seen(Route route, long nanos) {
        double counted = Math.min(nanos, MOST_PART * objective(route));
        means.merge(route.name(), counted, (old, newest) -> old + WEIGHT * (newest - old));
    }

    /** Returns the time that is to be expected, in nanoseconds. */
    long nanos(Route route) {
        return means.getOrDefault(route.name(), ASSUMED_PART * objective(route)).longValue();
    }

    private static double objective(Route route) {
        return route.objective().toNanos();
    }
}
