package org.copperspindle.fleet;

import java.time.Duration;
import java.util.Map;

/**
 * Desired placement of one pool.
 *
 * @param pool            the pool
 * @param copies          desired copies of each model or adapter, in the order of the file
 * @param slots           maximum models per upstream
 * @param adapterSlots    maximum adapters per upstream
 * @param maxInChange     maximum share of the pool's upstreams with an open order, above 0 and up to 1
 * @param loadTimeout     time after which a load counts as failed
 * @param weightsPath     directory of adapters on the file systems of the engines
 */
public record PlacementSettings(
        String pool,
        Map<String, Integer> copies,
        int slots,
        int adapterSlots,
        double maxInChange,
        Duration loadTimeout,
        String weightsPath) {}
