package org.copperspindle.routing;

import java.util.Set;

import org.copperspindle.config.PoolSettings;
import org.copperspindle.config.StageSettings;

/**
 * What one attempt needs from its upstream.
 *
 * @param pool          pool to choose from
 * @param stage         stage to run
 * @param failureDomain failure domain of the entry, preferred
 * @param affinity      hash of the prompt's prefix, 0 if there is none
 * @param tried         upstreams that earlier attempts of this stage used, avoided where possible
 */
public record RoutingRequest(
        PoolSettings pool, StageSettings stage, String failureDomain, long affinity, Set<String> tried) {}
