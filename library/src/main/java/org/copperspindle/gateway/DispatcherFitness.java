package org.copperspindle.gateway;

import java.util.function.BooleanSupplier;

import org.copperspindle.batch.DispatcherStatus;

/**
 * Whether and how well this node is suited as a dispatcher of stage pools.
 */
final class DispatcherFitness implements DispatcherStatus {

    /**
     * Minimum cores of a VM that batches the calls of a pool without delay. A smaller VM has a slower link as well:
     * with it as dispatcher, requests are late even though the pool keeps up.
     */
    private static final double MIN_DISPATCHER_CORES = 0.5;

    private final GatewaySettings settings;
    private final BooleanSupplier serves;

    DispatcherFitness(GatewaySettings settings, BooleanSupplier serves) {
        this.settings = settings;
        this.serves = serves;
    }

    @Override
    public boolean isServing() {
        return serves.getAsBoolean();
    }

    /**
     * Returns how well this node is suited as a dispatcher. Members of the control group rank after other nodes of
     * their size: while they are partitioned from each other but still reached by all others, two of them would
     * dispatch the calls of one pool, and half of these calls would find their upstream full.
     */
    @Override
    public int fitness() {
        if (settings.cores() < MIN_DISPATCHER_CORES) {
            return 0;
        }
        return settings.dataFolder().isPresent() ? 1 : 2;
    }
}
