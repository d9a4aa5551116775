package org.copperspindle.routing;

import java.util.Set;

import org.copperspindle.config.PoolSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;

/**
 * What one attempt needs from its upstream.
 *
 * @param pool          pool to choose from
 * @param stage         stage to run
 * @param failureDomain failure domain of the entry, preferred
 * @param affinity      hash of the prompt's prefix, 0 if there is none
 * @param tried         upstreams that earlier attempts of this stage used, avoided where possible
 * @param priority      priority of the request
 * @param now           nanoseconds of the timer service
 */
public record RoutingRequest(
        PoolSettings pool,
        StageSettings stage,
        String failureDomain,
        long affinity,
        Set<String> tried,
        Priority priority,
        long now) {

    /**
     * Creates a request of standard priority for a policy that does not go by time.
     *
     * @param pool          pool to choose from
     * @param stage         stage to run
     * @param failureDomain failure domain of the entry, preferred
     * @param affinity      hash of the prompt's prefix, 0 if there is none
     * @param tried         upstreams that earlier attempts of this stage used
     */
    public RoutingRequest(
            PoolSettings pool, StageSettings stage, String failureDomain, long affinity, Set<String> tried) {
        this(pool, stage, failureDomain, affinity, tried, Priority.STANDARD, 0);
    }
}
