package org.copperspindle.config;

import java.util.List;

/**
 * A pool of like upstreams.
 *
 * @param name           its name
 * @param kind           what its upstreams do
 * @param size           upstreams that the operators plan for
 * @param failureDomains failure domains that it spreads over
 * @param models         models that its upstreams serve; empty for plain services
 * @param concurrency    attempts that one upstream runs at once
 * @param costPerSecond  cost of one upstream's busy second, in the operators' unit
 * @param checksFencing  whether its upstreams refuse orders with an old fencing number themselves
 * @param reportsLoad    whether its upstreams report their load
 */
public record PoolSettings(
        String name,
        PoolKind kind,
        int size,
        List<String> failureDomains,
        List<String> models,
        int concurrency,
        double costPerSecond,
        boolean checksFencing,
        boolean reportsLoad) {}
