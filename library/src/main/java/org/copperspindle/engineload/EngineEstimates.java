package org.copperspindle.engineload;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * Estimates for one prompt at the engines of a pool, at one moment.
 */
@FunctionalInterface
public interface EngineEstimates {

    /**
     * Returns the estimate for an attempt at an engine.
     *
     * @param engine an engine of the pool
     * @return time to the first event, and the load it results from
     */
    EngineEstimate at(UpstreamRecord engine);
}
