package org.copperspindle.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.copperspindle.standby.ActingDispatchers;
import org.copperspindle.standby.StandbyTimes;
import org.copperspindle.standby.TakeoverListener;
import org.copperspindle.time.TimerService;

/**
 * Adjusts the dispatchers of this node to takeovers: those that it makes, and those of its own pools by other nodes.
 */
final class DispatcherTakeovers implements TakeoverListener {

    /**
     * Time from a takeover by this node to its first calls: the other nodes' groups arrive a round trip after the
     * announcement. The calls for this node's groups alone would occupy the upstreams nearly empty.
     */
    private static final long GATHER_NANOS = Duration.ofMillis(20).toNanos();

    /**
     * Time that a group waits at the replaced dispatcher for its origin to withdraw it. An origin of the previous
     * version, or with another view of the membership, never withdraws it.
     */
    private static final long WITHDRAWAL_NANOS = StandbyTimes.ANNOUNCEMENT_WAIT_NANOS;

    private final ActingDispatchers acting;
    private final String self;
    private final TimerService timers;
    private final Function<String, Optional<PoolDispatcher>> dispatchers;
    private final Runnable onChange;
    private final Set<String> gathering = new HashSet<>();
    private final Map<String, Long> replacedAt = new HashMap<>();

    /**
     * Creates the listener. The caller subscribes it after the pending groups.
     *
     * @param acting      the nodes that dispatch the pools
     * @param self        name of this node
     * @param timers      timers of the network thread
     * @param dispatchers finds this node's dispatcher of a pool by its name
     * @param onChange    called when any pool has got another acting dispatcher
     */
    DispatcherTakeovers(
            ActingDispatchers acting,
            String self,
            TimerService timers,
            Function<String, Optional<PoolDispatcher>> dispatchers,
            Runnable onChange) {
        this.acting = acting;
        this.self = self;
        this.timers = timers;
        this.dispatchers = dispatchers;
        this.onChange = onChange;
    }

    /**
     * Returns the groups for which this node may start calls at present. While another node has replaced this one,
     * groups of other nodes wait to be withdrawn, but no longer than {@link #WITHDRAWAL_NANOS} after their origin was
     * told of the takeover.
     *
     * @param pool pool of the groups
     * @return accepts these groups
     */
    Predicate<WaitingGroup> startable(String pool) {
        if (gathering.contains(pool)) {
            return group -> false;
        }
        if (acting.isHeldAfterStall(pool)) {
            return group -> group.origin().equals(self);
        }
        return acting.isTakenOver(pool)
                ? group -> group.origin().equals(self) || isOverdue(pool, group)
                : group -> true;
    }

    /** Returns whether a group should have been withdrawn: its origin was told of the takeover long enough ago. */
    private boolean isOverdue(String pool, WaitingGroup group) {
        long now = timers.nanoTime();
        long sinceTakeover = now - replacedAt.getOrDefault(pool, now);
        return Math.min(sinceTakeover, now - group.arrivedAt()) >= WITHDRAWAL_NANOS;
    }

    @Override
    public int moveGroups(String pool, String from, String to) {
        if (from.equals(self)) {
            replacedAt.put(pool, timers.nanoTime());
            // Nodes that the announcement has not reached learn of the takeover from this node.
            dispatchers
                    .apply(pool)
                    .map(PoolDispatcher::waitingOrigins)
                    .orElse(Set.of())
                    .forEach(node -> acting.forwardTakeover(node, pool));
        }
        if (to.equals(self) && gathering.add(pool)) {
            timers.schedule(GATHER_NANOS, () -> endGathering(pool));
        }
        return 0;
    }

    @Override
    public void onChange() {
        onChange.run();
    }

    private void endGathering(String pool) {
        gathering.remove(pool);
        dispatchers.apply(pool).ifPresent(PoolDispatcher::dispatch);
    }
}
