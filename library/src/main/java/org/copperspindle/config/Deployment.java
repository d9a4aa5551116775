package org.copperspindle.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete and validated deployment configuration, which operators apply as a unit. Immutable.
 *
 * @param name              name of the deployment
 * @param failureDomains    failure domains that VMs may belong to
 * @param attainmentWeight  weight of attainment in routing, from 0 (cost only) to 1 (attainment only)
 * @param accounts          client accounts by name
 * @param pools             pools by name
 * @param pipelines         pipelines and plain services by name
 */
public record Deployment(
        String name,
        List<String> failureDomains,
        double attainmentWeight,
        Map<String, AccountSettings> accounts,
        Map<String, PoolSettings> pools,
        Map<String, PipelineSettings> pipelines) {

    /** An empty deployment, which is never in force. */
    public static final Deployment EMPTY = new Deployment("", List.of(), 0.5, Map.of(), Map.of(), Map.of());

    /**
     * Finds a pool.
     *
     * @param pool its name
     * @return the pool
     */
    public Optional<PoolSettings> pool(String pool) {
        return Optional.ofNullable(pools.get(pool));
    }

    /**
     * Finds a pipeline or plain service.
     *
     * @param pipeline its name
     * @return the pipeline
     */
    public Optional<PipelineSettings> pipeline(String pipeline) {
        return Optional.ofNullable(pipelines.get(pipeline));
    }
}
