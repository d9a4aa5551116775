package org.copperspindle.admission;

import java.util.HashMap;
import java.util.Map;

import org.copperspindle.route.Route;

/**
 * Moving average, by route, of the time from an attempt to its first event, as this node measures it. It is the last
 * part of the estimated time to first event of a request. On the same engines prompts of one route take 100 ms, those
 * of another 230 ms.
 */
public final class FirstEventLatencies {

    /** Fraction of the objective that is assumed before the first measurement: engines read most prompts in less. */
    private static final double INITIAL_FRACTION = 0.1;

    /**
     * Upper bound of a sample, as a fraction of the objective: one slow engine must not make every request look late.
     */
    private static final double MAX_FRACTION = 0.3;

    /**
     * Weight of the newest sample: an average over about ten samples follows a burst of long prompts within seconds.
     */
    private static final double WEIGHT = 0.1;

    private final Map<String, Double> means = new HashMap<>();

    /**
     * Records the time to first event of an attempt.
     *
     * @param route route of the request
     * @param nanos measured time in nanoseconds
     */
    public void observe(Route route, long nanos) {
        double sample = Math.min(nanos, MAX_FRACTION * objective(route));
        means.merge(route.name(), sample, (mean, newest) -> mean + WEIGHT * (newest - mean));
    }

    /**
     * Returns the expected time to first event in nanoseconds.
     *
     * @param route route of a request
     * @return nanoseconds from the attempt to its first event
     */
    public long expectedNanos(Route route) {
        return means.getOrDefault(route.name(), INITIAL_FRACTION * objective(route))
                .longValue();
    }

    private static double objective(Route route) {
        return route.objective().toNanos();
    }
}
