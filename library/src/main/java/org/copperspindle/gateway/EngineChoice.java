package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * Chooses the engine of a request with a prompt.
 */
interface EngineChoice {

    /**
     * Chooses an engine.
     *
     * @param demand     the request
     * @param candidates usable engines of the pool
     * @param accepts    returns whether an engine accepts the request now
     * @return the engine; empty if none is suited
     */
    Optional<UpstreamRecord> choose(
            EngineDemand demand, List<UpstreamRecord> candidates, Predicate<UpstreamRecord> accepts);
}
