package org.copperspindle.routing;

import java.util.Set;

import org.copperspindle.config.PoolSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;

/**
 * Requirements of one attempt on its upstream.
 *
 * @param pool          pool to choose from
 * @param stage         stage to run
 * @param failureDomain failure domain of the entry, preferred
 * @param affinity      hash of the prompt's prefix, 0 if there is none
 * @param tried         upstreams used by earlier attempts of this stage, avoided if possible
 * @param priority      priority of the request
 * @param now           monotonic time in nanoseconds
 * @param limitShare    share of the pool's declared concurrency that may be used now
 */
public record RoutingRequest(
        PoolSettings pool,
        StageSettings stage,
        String failureDomain,
        long affinity,
        Set<String> tried,
        Priority priority,
        long now,
        double limitShare) {

    /**
     * Creates a request of standard priority for a policy that ignores the time.
     *
     * @param pool          pool to choose from
     * @param stage         stage to run
     * @param failureDomain failure domain of the entry, preferred
     * @param affinity      hash of the prompt's prefix, 0 if there is none
     * @param tried         upstreams that earlier attempts of this stage used
     */
    public RoutingRequest(
            PoolSettings pool, StageSettings stage, String failureDomain, long affinity, Set<String> tried) {
        this(pool, stage, failureDomain, affinity, tried, Priority.STANDARD, 0, 1);
    }

    /**
     * Returns the same request for another time and limit.
     *
     * @param instant monotonic time in nanoseconds
     * @param share   share of the pool's declared concurrency that may be used
     * @return the request
     */
    public RoutingRequest at(long instant, double share) {
        return new RoutingRequest(pool, stage, failureDomain, affinity, tried, priority, instant, share);
    }
}
