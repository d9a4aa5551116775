package org.copperspindle.config;

import java.util.List;

/**
 * Settings of a pool of equivalent upstreams.
 *
 * @param name           its name
 * @param kind           function of its upstreams
 * @param size           planned number of upstreams
 * @param failureDomains failure domains over which its upstreams are distributed
 * @param models         models that its upstreams serve; empty for plain services
 * @param concurrency    concurrent attempts per upstream
 * @param costPerSecond  cost of one busy second of an upstream, in the operators' unit
 * @param checksFencing  whether its upstreams themselves reject orders with an outdated fencing number
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
