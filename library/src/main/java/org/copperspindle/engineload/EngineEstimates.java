package org.copperspindle.engineload;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * Estimates for one prompt at the engines of a pool, at one moment.
 */
public interface EngineEstimates {

    /**
     * Returns the estimate for an attempt at an engine.
     *
     * @param engine an engine of the pool
     * @return time to the first event, and the load it results from
     */
    EngineEstimate at(UpstreamRecord engine);

    /**
     * Returns the rendezvous score of an engine for the shared part of the prompt.
     *
     * @param engine an engine of the pool
     * @return the score; the engine with the highest one is the first choice while engines are equal
     */
    long score(UpstreamRecord engine);

    /**
     * Returns how much other nodes are likely to have sent to the pool since the state that the estimates are based
     * on. If all nodes ignored that, they would all send to the same few engines between two tables.
     *
     * @return prompt tokens
     */
    long unseenTokens();
}
