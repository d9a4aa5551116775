package org.copperspindle.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.copperspindle.route.Route;

/**
 * Learns, by route, how much longer stages take than estimated from the loads of their pools.
 */
final class StageOverruns {

    /**
     * Weight of the newest sample. Waiting for upstreams near the inputs and small queues add part of a call to each
     * stage; an average over about ten requests follows a pool that becomes slow within seconds.
     */
    private static final double WEIGHT = 0.1;

    /**
     * Upper bound of a sample, as a fraction of the objective: one request that ran during a fault must not block the
     * admission.
     */
    private static final double MAX_FRACTION = 0.4;

    /**
     * The learned value expires when no request of the route has run for this long. Only requests that run can change
     * it, and under load it can block all of them: a node that was paused with ten requests in progress would refuse
     * their route until its pools are idle. A node that admits a route runs several of its requests in this time.
     */
    private static final long EXPIRY_NANOS = Duration.ofSeconds(5).toNanos();

    private final Map<String, Overrun> byRoute = new HashMap<>();

    /**
     * Records the stage duration of a request.
     *
     * @param route          its route
     * @param estimatedNanos estimated duration of its stages
     * @param actualNanos    measured duration of its stages
     * @param now            monotonic time in nanoseconds
     */
    void observe(Route route, long estimatedNanos, long actualNanos, long now) {
        double bound = route.objective().toNanos() * MAX_FRACTION;
        double sample = Math.max(0, Math.min(bound, actualNanos - estimatedNanos));
        double mean = nanos(route, now);
        byRoute.put(route.name(), new Overrun(mean + WEIGHT * (sample - mean), now));
    }

    /** Returns the time to add to the estimate for a route, in nanoseconds. */
    long nanos(Route route, long now) {
        Overrun overrun = byRoute.get(route.name());
        return overrun == null || now - overrun.at() > EXPIRY_NANOS ? 0 : (long) overrun.nanos();
    }

    private record Overrun(double nanos, long at) {}
}
