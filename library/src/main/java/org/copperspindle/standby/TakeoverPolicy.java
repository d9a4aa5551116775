package org.copperspindle.standby;

import java.time.Duration;

/**
 * Decides when a standby takes over a pool and when it returns it. While a dispatcher is suspended under load no node
 * dispatches the pool, and requests on time have about one call of slack; the failure of the connection is detected
 * far too late for them. A pure function of the heartbeats, the membership and the time.
 */
final class TakeoverPolicy {

    /**
     * Silence after which a dispatcher is replaced: a retransmission takes 200 ms and a process on a small VM is
     * stopped for up to 100 ms by its processor quota, while a call takes 240 ms and more, which is about the slack of
     * a request on time.
     */
    static final long SILENCE_NANOS = Duration.ofMillis(300).toNanos();

    /** Number of heartbeats before silence means anything: a node that has just become the standby may have none yet. */
    static final int MIN_HEARTBEATS = 3;

    /** Time of heartbeats without a gap after which the dispatcher counts as working again. */
    static final long RETURN_NANOS = Duration.ofSeconds(1).toNanos();

    private TakeoverPolicy() {}

    /**
     * Decides about a pool that this node does not dispatch.
     *
     * @param heartbeats heartbeats received for the pool
     * @param roles      the nodes that membership designates now
     * @param self       name of this node
     * @param isIsolated whether this node has lost most others
     * @param now        monotonic time in nanoseconds
     * @return {@code TakeOver}, {@code Superseded} or {@code Keep}
     */
    static TakeoverDecision beforeTakeover(
            HeartbeatHistory heartbeats, PoolRoles roles, String self, boolean isIsolated, long now) {
        if (!heartbeats.isOf(roles.dispatcher(), roles.incarnation()) || !roles.isStandby(self)) {
            return new TakeoverDecision.Superseded();
        }
        if (isIsolated || heartbeats.count() < MIN_HEARTBEATS || !heartbeats.isSilent(now)) {
            return new TakeoverDecision.Keep();
        }
        return new TakeoverDecision.TakeOver(heartbeats.silentNanos(now));
    }

    /**
     * Decides about a pool that this node has taken over.
     *
     * @param heartbeats heartbeats received for the pool
     * @param roles      the nodes that membership designates now
     * @param self       name of this node
     * @param isIsolated whether this node has lost most others
     * @param now        monotonic time in nanoseconds
     * @return {@code Return}, {@code Superseded} or {@code Keep}
     */
    static TakeoverDecision duringTakeover(
            HeartbeatHistory heartbeats, PoolRoles roles, String self, boolean isIsolated, long now) {
        if (!heartbeats.isOf(roles.dispatcher(), roles.incarnation())) {
            return new TakeoverDecision.Superseded();
        }
        boolean isSteady = !heartbeats.isSilent(now) && heartbeats.steadyNanos() >= RETURN_NANOS;
        boolean mayReplace = roles.isStandby(self) && !isIsolated;
        return isSteady || !mayReplace ? new TakeoverDecision.Return() : new TakeoverDecision.Keep();
    }
}
