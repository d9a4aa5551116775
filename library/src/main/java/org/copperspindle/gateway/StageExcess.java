package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.copperspindle.route.Route;

/**
 * How much longer the stages of each route take than was reckoned by the loads of their pools.
 */
final class StageExcess {

    /**
     * Weight of the newest request in the mean. Waits for upstreams near the inputs and small queues add a part of a call to
     * each stage; a mean over the last ten requests follows a pool that turns slow within seconds.
     */
    private static final double WEIGHT = 0.1;

    /** Most that is added, as a part of the objective: one request that ran through a fault must not close the gate. */
    private static final double MOST = 0.4;

    /**
     * What was learned is forgotten once no request of the route has run for so long. Only requests that run can change it,
     * and under load it can keep all of them away: a node that stood still with ten requests under way would refuse
     * their route until its pools are idle. Nodes that admit a route run several of its requests in this time.
     */
    private static final long AGE_NANOS = Duration.ofSeconds(5).toNanos();

    private final Map<String, Learned> byRoute = new HashMap<>();

    /**
     * Learns from a request whose stages have run.
     *
     * @param route         its route
     * @param reckonedNanos how long they were reckoned to take
     * @param tookNanos     how long they took
     * @param now           monotonic time in nanoseconds
     */
    void ran(Route route, long reckonedNanos, long tookNanos, long now) {
        double most = route.objective().toNanos() * MOST;
        double seen = Math.max(0, Math.min(most, tookNanos - reckonedNanos));
        double old = nanos(route, now);
        byRoute.put(route.name(), new Learned(old + WEIGHT * (seen - old), now));
    }

    /** Returns how much to add for a route, in nanoseconds. */
    long nanos(Route route, long now) {
        Learned learned = byRoute.get(route.name());
        return learned == null || now - learned.at() > AGE_NANOS ? 0 : (long) learned.nanos();
    }

    private record Learned(double nanos, long at) {}
}
