package org.copperspindle.fleet;

import java.time.Duration;
import java.util.Map;

/**
 * Wanted placement of one pool.
 *
 * @param pool            the pool
 * @param copies          copies wanted of each model or adapter, in the order of the file
 * @param slots           models that one upstream holds
 * @param adapterSlots    adapters that one upstream holds
 * @param maxInChange     share of the pool's upstreams with an order open at once, above 0 up to 1
 * @param loadTimeout     time after which a load counts as failed
 * @param weightsPath     folder of adapters as the engines see it
 */
public record PlacementSettings(
        String pool,
        Map<String, Integer> copies,
        int slots,
        int adapterSlots,
        double maxInChange,
        Duration loadTimeout,
        String weightsPath) {}
