package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.standby.ActingDispatchers;
import org.copperspindle.standby.TakeoverListener;
import org.copperspindle.time.TimerService;

/**
 * The groups of this node's requests that still lack results, and the nodes that dispatch them. Groups move to another
 * node when theirs is lost, and when a standby takes over their pool.
 */
final class PendingGroups implements TakeoverListener {

    private static final Logger LOGGER = LogManager.getLogger(PendingGroups.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MeshRelay relay;
    private final String self;
    private final TimerService timers;
    private final ActingDispatchers acting;
    private final Function<String, PoolDispatcher> dispatchers;
    private final Function<String, Optional<BatchLimits>> limits;
    private final ResultSink sink;
    private final Map<Long, PendingGroup> pending = new LinkedHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param relay       sends to other nodes
     * @param timers      timers of the network thread
     * @param acting      the nodes that dispatch the pools
     * @param dispatchers returns this node's dispatcher of a pool by its name
     * @param limits      returns the limits of a pool's calls by its name
     * @param sink        releases results that nobody needs
     */
    PendingGroups(
            MeshRelay relay,
            TimerService timers,
            ActingDispatchers acting,
            Function<String, PoolDispatcher> dispatchers,
            Function<String, Optional<BatchLimits>> limits,
            ResultSink sink) {
        this.relay = relay;
        this.self = relay.mesh().self();
        this.timers = timers;
        this.acting = acting;
        this.dispatchers = dispatchers;
        this.limits = limits;
        this.sink = sink;
    }

    void submit(PieceGroup group, PieceListener listener) {
        PendingGroup entry = new PendingGroup(group, listener, timers.nanoTime());
        pending.put(group.id(), entry);
        forward(entry);
    }

    /** Cancels a group whose results are no longer needed. */
    void cancel(long id) {
        PendingGroup entry = pending.remove(id);
        if (entry != null) {
            cancelAtOwner(entry);
        }
    }

    int size() {
        return pending.size();
    }

    /** Sends groups to another dispatcher if theirs can be reached neither directly nor through other nodes. */
    void moveOrphans() {
        List<PendingGroup> orphans = pending.values().stream()
                .filter(p -> !p.owner().equals(self) && !relay.canReach(p.owner()))
                .toList();
        if (!orphans.isEmpty()) {
            LOGGER.warn(
                    "event=dispatcher-lost node={} groups={}", orphans.get(0).owner(), orphans.size());
        }
        orphans.forEach(this::forward);
    }

    @Override
    public int moveGroups(String pool, String from, String to) {
        List<PendingGroup> moved = pending.values().stream()
                .filter(p -> p.owner().equals(from) && p.group().pool().equals(pool))
                .toList();
        for (PendingGroup entry : moved) {
            long id = entry.group().id();
            entry.recordMove();
            if (from.equals(self)) {
                dispatchers.apply(pool).withdraw(self, id);
            } else {
                relay.send(from, new PieceCancelMessage(id, true));
            }
            forward(entry);
        }
        LOGGER.info("event=dispatch-moved pool={} from={} to={} groups={}", pool, from, to, moved.size());
        return moved.size();
    }

    /**
     * Takes results of a group. A former owner may have made some before it learned that the group was moved; they
     * are accepted, but what it failed to make is expected from the present owner.
     */
    void onResults(String from, PieceResultsMessage results) {
        PendingGroup entry = pending.get(results.group());
        boolean isOwner = entry != null && entry.owner().equals(from);
        if (entry == null || !isOwner && !entry.wasAt(from)) {
            release(results.results());
            return;
        }
        List<PieceResult> provisional = results.results().stream()
                .filter(result -> isOwner && isProvisional(entry, result))
                .toList();
        if (!provisional.isEmpty()) {
            long wait = limits.apply(entry.group().pool())
                    .map(BatchLimits::fullCallNanos)
                    .orElse(0L);
            timers.schedule(wait, () -> acceptMisses(from, entry, provisional));
        }
        List<PieceResult> accepted = new ArrayList<>(results.results());
        accepted.removeAll(provisional);
        accept(entry, isOwner, accepted);
    }

    /**
     * Returns whether the former owner of a moved group may still have the result of a missed piece: it releases the
     * inputs of a call that runs, so that a second call for the same piece finds them gone.
     */
    private static boolean isProvisional(PendingGroup entry, PieceResult result) {
        return entry.wasMoved() && result.outcome().isMissedFor(MissReason.INPUT_GONE);
    }

    /** Accepts misses after the call that ran at the former owner when the group was moved must have ended. */
    private void acceptMisses(String owner, PendingGroup entry, List<PieceResult> misses) {
        if (pending.get(entry.group().id()) == entry && entry.owner().equals(owner)) {
            accept(entry, true, misses);
        }
    }

    private void accept(PendingGroup entry, boolean isOwner, List<PieceResult> results) {
        List<PieceResult> wanted = new ArrayList<>();
        List<PieceResult> unwanted = new ArrayList<>();
        for (PieceResult result : results) {
            boolean isUsable = isOwner || result.outcome() instanceof PieceOutcome.Made;
            boolean isMissing = isUsable && entry.missing().remove((Integer) result.piece());
            (isMissing ? wanted : unwanted).add(result);
        }
        if (entry.wasMoved()) {
            release(unwanted);
        }
        if (entry.missing().isEmpty()) {
            pending.remove(entry.group().id());
            if (!isOwner) {
                cancelAtOwner(entry);
            }
        }
        if (!wanted.isEmpty()) {
            entry.listener().onResults(wanted);
        }
    }

    private void cancelAtOwner(PendingGroup entry) {
        long id = entry.group().id();
        if (entry.owner().equals(self)) {
            dispatchers.apply(entry.group().pool()).cancel(self, id);
        } else {
            relay.send(entry.owner(), new PieceCancelMessage(id, false));
        }
    }

    private void forward(PendingGroup entry) {
        long elapsed = (timers.nanoTime() - entry.submittedAt()) / NANOS_PER_MILLI;
        PieceGroup group = entry.group().withElapsed(elapsed, entry.missing());
        entry.owner(acting.of(group.pool()));
        if (!entry.owner().equals(self)) {
            if (relay.send(entry.owner(), group)) {
                return;
            }
            entry.owner(self);
        }
        // Deferred, so that a caller does not receive results while it is still submitting.
        timers.schedule(0, () -> {
            if (pending.containsKey(group.id()) && entry.owner().equals(self)) {
                dispatchers.apply(group.pool()).add(self, group);
            }
        });
    }

    /**
     * Releases results that arrive after their request was cancelled, a second time, or from a node that is no longer
     * the group's dispatcher: they hold memory.
     */
    private void release(List<PieceResult> results) {
        sink.release(results.stream()
                .map(PieceResult::made)
                .flatMap(Optional::stream)
                .toList());
    }
}
