package org.copperspindle.route;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A pool of upstreams that do the same work.
 *
 * @param name           its name
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param batchLimits    limits of the calls to one upstream, empty if the pool serves no stage
 * @param engineSlots    requests that one model engine runs at once, empty if the pool has no engines
 * @param cold           limits of a cold upstream, empty if it sustains as much as any other
 */
public record UpstreamPool(
        String name,
        int maxConnections,
        Optional<BatchLimits> batchLimits,
        OptionalInt engineSlots,
        Optional<ColdLimits> cold) {}
