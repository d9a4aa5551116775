package org.copperspindle.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.version.VersionHolder;

/**
 * Status of the configuration lease of a node, mainly in the time after its start.
 */
final class StartupLeaseStatus implements LeaseStatus {

    /**
     * Retry delay after the loss of a lease: by then this node has it back after a request to the leader, or another
     * node has one.
     */
    private static final Duration LEASE_RETURN_TIME = Duration.ofMillis(300);

    /**
     * Time from a simultaneous start of all nodes until they serve: an election of up to twice its timeout, and the
     * leases.
     */
    private static final Duration GROUP_START_TIME = ControlGroupMember.ELECTION_TIMEOUT.multipliedBy(2);

    private final VersionHolder holder;
    private final NodeMesh mesh;
    private final BooleanSupplier stopping;
    private final Supplier<Duration> uptime;

    /**
     * Creates the status.
     *
     * @param holder   holds the lease
     * @param mesh     the other nodes
     * @param stopping whether this node is about to stop
     * @param uptime   time since its start
     */
    StartupLeaseStatus(VersionHolder holder, NodeMesh mesh, BooleanSupplier stopping, Supplier<Duration> uptime) {
        this.holder = holder;
        this.mesh = mesh;
        this.stopping = stopping;
        this.uptime = uptime;
    }

    @Override
    public boolean isFirstLeasePending() {
        return !stopping.getAsBoolean()
                && !holder.wasEverLeased()
                && uptime.get().compareTo(GROUP_START_TIME) < 0;
    }

    /**
     * If other nodes serve, a caller may retry at once and reach one of them. If none does, as after a power loss of
     * all nodes, a leader must be elected first; callers that retried before that would be refused twice, and most
     * have no third attempt.
     */
    @Override
    public Duration retryAfter() {
        Duration left = mesh.serving().isEmpty() ? GROUP_START_TIME.minus(uptime.get()) : Duration.ZERO;
        return left.compareTo(LEASE_RETURN_TIME) > 0 ? left : LEASE_RETURN_TIME;
    }
}
