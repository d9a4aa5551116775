package org.copperspindle.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.version.VersionHolder;

/**
 * Where a node stands with its lease, in the time after its start above all.
 */
final class StartupLeaseStatus implements LeaseStatus {

    /** A lease is back within a question to the leader, or another node has one. */
    private static final Duration LEASE_RETURN = Duration.ofMillis(300);

    /** Time from a start of all nodes until they serve: an election of up to twice its timeout, and leases. */
    private static final Duration GROUP_RETURN = GroupMember.ELECTION_TIMEOUT.multipliedBy(2);

    private final VersionHolder holder;
    private final NodeMesh mesh;
    private final BooleanSupplier stopping;
    private final Supplier<Duration> uptime;

    /**
     * Creates it.
     *
     * @param holder   holds the lease
     * @param mesh     the other nodes
     * @param stopping says whether this node is about to end
     * @param uptime   time since its start
     */
    StartupLeaseStatus(VersionHolder holder, NodeMesh mesh, BooleanSupplier stopping, Supplier<Duration> uptime) {
        this.holder = holder;
        this.mesh = mesh;
        this.stopping = stopping;
        this.uptime = uptime;
    }

    @Override
    public boolean isUnderWay() {
        return !stopping.getAsBoolean()
                && !holder.wasEverLeased()
                && uptime.get().compareTo(GROUP_RETURN) < 0;
    }

    /**
     * Where other nodes serve, at once: the caller will reach one of them. Where none does, as after a loss of power of all, a
     * leader must be elected first; callers told to come back before that would be refused twice, and most have no third
     * attempt.
     */
    @Override
    public Duration returnAfter() {
        Duration left = mesh.serving().isEmpty() ? GROUP_RETURN.minus(uptime.get()) : Duration.ZERO;
        return left.compareTo(LEASE_RETURN) > 0 ? left : LEASE_RETURN;
    }
}
