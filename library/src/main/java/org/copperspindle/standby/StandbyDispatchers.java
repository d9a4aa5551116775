package org.copperspindle.standby;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Sends heartbeats to the standbys of the pools that this node dispatches, and takes over the pools whose standby this
 * node is. Only the standby decides, so that nodes that suspect a dispatcher at different times don't split its pool.
 *
 * <p>Runs on the network thread. The caller subscribes it to the mesh before the batch service, and to the relay.
 */
public final class StandbyDispatchers implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(StandbyDispatchers.class);

    /**
     * Heartbeats after which the roles are evaluated again without an event: reachability through other nodes changes
     * without one. An evaluation compares all nodes for each pool.
     */
    private static final int HEARTBEATS_PER_EVALUATION = 5;

    /** Repetitions of the end of a takeover: a node that misses it sends groups to the standby for up to 800 ms. */
    private static final int END_REPETITIONS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MeshRelay relay;
    private final String self;
    private final TimerService timers;
    private final ActingDispatchers acting;
    private final DispatcherChoice choice;
    private final RolesCache roles;
    private final long incarnation;
    private final Supplier<Set<String>> pools;
    private final BooleanSupplier isIsolated;
    private final StallDetector stalls;
    private final LogRateLimiter log;
    private final TakeoverCounters counters = new TakeoverCounters();
    private final Map<String, HeartbeatHistory> heartbeats = new HashMap<>();
    private final Map<String, ActiveTakeover> active = new TreeMap<>();
    private final Map<String, Long> endedAt = new HashMap<>();
    private Map<String, List<String>> poolsByStandby = Map.of();
    private Set<String> evaluatedPools = Set.of();
    private boolean rolesMayHaveChanged = true;
    private long intervals;
    private boolean isCheckScheduled;
    private long heldUntil;

    /**
     * Creates the service.
     *
     * @param relay       sends to other nodes, also through a third node
     * @param timers      timers of the network thread
     * @param acting      receives the takeovers
     * @param pools       supplies the names of the pools that have a standby; the same object while nothing changes
     * @param isIsolated  returns whether this node has lost most others
     * @param stalls      detects that this process stood still
     * @param log         limits the rate of log lines
     */
    public StandbyDispatchers(
            MeshRelay relay,
            TimerService timers,
            ActingDispatchers acting,
            Supplier<Set<String>> pools,
            BooleanSupplier isIsolated,
            StallDetector stalls,
            LogRateLimiter log) {
        this.relay = relay;
        this.self = relay.mesh().self();
        this.timers = timers;
        this.acting = acting;
        this.choice = acting.choice();
        this.roles = acting.roles();
        this.incarnation = relay.mesh().incarnation();
        this.pools = pools;
        this.isIsolated = isIsolated;
        this.stalls = stalls;
        this.log = log;
        this.heldUntil = timers.nanoTime();
        acting.holdAfterStallWhile(this::isHeldAfterStall);
        acting.forwardWith(this::forward);
    }

    /** Starts the heartbeats and the checks for silent dispatchers. */
    public void start() {
        checkForStall();
        // Reachability through other nodes changes without an event.
        roles.clearReachability();
        evaluateRoles(intervals % HEARTBEATS_PER_EVALUATION == 0);
        intervals++;
        poolsByStandby.forEach((standby, names) -> relay.send(standby, new DispatcherHeartbeatMessage(names)));
        checkPools();
        Map.copyOf(active).forEach(this::announce);
        timers.schedule(StandbyTimes.HEARTBEAT_INTERVAL_NANOS, this::start);
    }

    /**
     * Returns the counts for the metrics.
     *
     * @return counts since this node started
     */
    public TakeoverCounters counters() {
        return counters;
    }

    @Override
    public void onNodeUp(MeshNode node) {
        onMembershipChange();
    }

    @Override
    public void onNodeDown(MeshNode node) {
        checkForStall();
        onMembershipChange();
        acting.removeInvalid();
        // The choice learns of the lost node only after this listener.
        roles.clear();
    }

    @Override
    public void onHello(MeshNode node) {
        onMembershipChange();
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        checkForStall();
        if (message instanceof DispatcherHeartbeatMessage heartbeat) {
            onHeartbeat(node.address(), heartbeat);
        } else if (message instanceof TakeoverMessage takeover) {
            onTakeover(node.address(), takeover);
        }
    }

    /** Checks for silence and for the end of takeovers, at short intervals only while there is anything to check. */
    private void checkPools() {
        List.copyOf(heartbeats.keySet()).forEach(this::checkPool);
        acting.removeInvalid();
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (isCheckScheduled || heartbeats.isEmpty() && !acting.hasTakeovers()) {
            return;
        }
        isCheckScheduled = true;
        timers.schedule(StandbyTimes.CHECK_INTERVAL_NANOS, () -> {
            isCheckScheduled = false;
            checkForStall();
            checkPools();
        });
    }

    private void onMembershipChange() {
        rolesMayHaveChanged = true;
        roles.clear();
    }

    private void onHeartbeat(String node, DispatcherHeartbeatMessage message) {
        long now = timers.nanoTime();
        long sender = choice.incarnation(node).orElse(0);
        Set<String> known = pools.get();
        boolean isForeign = message.pools().isEmpty();
        for (String pool : message.pools()) {
            if (!known.contains(pool) || !roles.of(pool).dispatcher().equals(node)) {
                isForeign = true;
                continue;
            }
            HeartbeatHistory history = heartbeats.get(pool);
            boolean isKnown = history != null && history.isOf(node, sender);
            heartbeats.put(pool, isKnown ? history.next(now) : HeartbeatHistory.first(node, sender, now));
        }
        if (isForeign) {
            drop(node, "heartbeat", "not-dispatcher");
        }
    }

    private void onTakeover(String node, TakeoverMessage message) {
        String pool = message.pool();
        if (!message.isValid() || !pools.get().contains(pool)) {
            drop(node, "takeover", "malformed");
            return;
        }
        if (message.ends() && acting.isLatest(pool, message.dispatcher(), message.incarnation(), node)) {
            // The node that took over ends it, although membership may have designated another standby meanwhile.
            endAnnounced(pool);
            return;
        }
        String dispatcher = roles.of(pool).dispatcher();
        if (node.equals(dispatcher) && !dispatcher.equals(message.dispatcher())) {
            // The sender has not yet seen that membership designates it.
            return;
        }
        if (!dispatcher.equals(message.dispatcher()) || incarnationOf(dispatcher) != message.incarnation()) {
            drop(node, "takeover", "other-dispatcher");
            return;
        }
        String standby = roles.of(pool).standby().orElse("");
        boolean isForwarded = node.equals(dispatcher);
        if (standby.isEmpty() || !isForwarded && !standby.equals(node)) {
            drop(node, "takeover", "not-standby");
            return;
        }
        applyAnnounced(message, standby, isForwarded);
    }

    private void applyAnnounced(TakeoverMessage message, String standby, boolean isForwarded) {
        String pool = message.pool();
        long now = timers.nanoTime();
        if (message.ends()) {
            if (!isForwarded) {
                endAnnounced(pool);
            }
            return;
        }
        Long ended = endedAt.get(pool);
        // The dispatcher may still forward an announcement a moment after the takeover has ended.
        boolean isLate = isForwarded && ended != null && now - ended < StandbyTimes.ANNOUNCEMENT_WAIT_NANOS;
        if (isLate || standby.equals(self)) {
            return;
        }
        long validUntil = now + ActingDispatchers.VALIDITY_NANOS;
        acting.apply(pool, new Takeover(message.dispatcher(), message.incarnation(), standby, validUntil));
    }

    private void endAnnounced(String pool) {
        endedAt.put(pool, timers.nanoTime());
        acting.end(pool);
    }

    private void checkPool(String pool) {
        HeartbeatHistory history = heartbeats.get(pool);
        long now = timers.nanoTime();
        ActiveTakeover takeover = active.get(pool);
        if (history == null || takeover == null && !history.isSilent(now)) {
            return;
        }
        if (!pools.get().contains(pool)) {
            heartbeats.remove(pool);
            end(pool, "table");
            return;
        }
        boolean isolated = isIsolated.getAsBoolean();
        if (takeover == null && isolated) {
            return;
        }
        PoolRoles present = roles.of(pool);
        TakeoverDecision decision = takeover == null
                ? TakeoverPolicy.beforeTakeover(history, present, self, isolated, now)
                : TakeoverPolicy.duringTakeover(history, present, self, isolated, now);
        if (decision instanceof TakeoverDecision.TakeOver silence) {
            takeOver(pool, history, silence.silentNanos());
        } else if (decision instanceof TakeoverDecision.Return) {
            returnPool(pool, "returned");
        } else if (decision instanceof TakeoverDecision.Superseded) {
            heartbeats.remove(pool);
            end(pool, "membership");
        }
    }

    private void takeOver(String pool, HeartbeatHistory history, long silentNanos) {
        ActiveTakeover takeover = new ActiveTakeover(history.dispatcher(), history.incarnation(), timers.nanoTime());
        active.put(pool, takeover);
        counters.recordTakeover();
        counters.recordActive(active.size());
        int groups = announce(pool, takeover);
        LOGGER.warn(
                "event=dispatch-takeover pool={} dispatcher={} standby={} silent_ms={} groups={}",
                pool,
                takeover.dispatcher(),
                self,
                silentNanos / NANOS_PER_MILLI,
                groups);
    }

    /** Announces a takeover to all nodes and prolongs it here; returns the number of this node's groups moved. */
    private int announce(String pool, ActiveTakeover takeover) {
        broadcast(takeover.message(pool, false));
        long validUntil = timers.nanoTime() + ActingDispatchers.VALIDITY_NANOS;
        return acting.apply(pool, new Takeover(takeover.dispatcher(), takeover.incarnation(), self, validUntil));
    }

    private void returnPool(String pool, String reason) {
        ActiveTakeover takeover = active.get(pool);
        end(pool, reason);
        TakeoverMessage end = takeover.message(pool, true);
        broadcast(end);
        repeatEnd(end, END_REPETITIONS);
    }

    private void repeatEnd(TakeoverMessage end, int remaining) {
        timers.schedule(StandbyTimes.HEARTBEAT_INTERVAL_NANOS, () -> {
            if (active.containsKey(end.pool())) {
                return;
            }
            broadcast(end);
            if (remaining > 1) {
                repeatEnd(end, remaining - 1);
            }
        });
    }

    /**
     * Ends a takeover at this node. Other nodes see a change of membership themselves, possibly a moment later; told
     * that the takeover has ended, they would send groups to the lost dispatcher until then.
     */
    private void end(String pool, String reason) {
        ActiveTakeover takeover = active.remove(pool);
        if (takeover == null) {
            return;
        }
        counters.recordActive(active.size());
        acting.end(pool);
        LOGGER.info(
                "event=dispatch-returned pool={} dispatcher={} standby={} took_ms={} reason={}",
                pool,
                acting.of(pool),
                self,
                (timers.nanoTime() - takeover.startedAt()) / NANOS_PER_MILLI,
                reason);
    }

    private void broadcast(TakeoverMessage message) {
        relay.mesh().broadcast(message);
        choice.lostButReachable().forEach(node -> relay.send(node, message));
    }

    private void forward(String node, String pool) {
        relay.send(node, new TakeoverMessage(pool, self, incarnation, false));
    }

    private void evaluateRoles(boolean isDue) {
        Set<String> present = pools.get();
        if (!isDue && !rolesMayHaveChanged && present == evaluatedPools) {
            return;
        }
        rolesMayHaveChanged = false;
        roles.clear();
        evaluatedPools = present;
        Map<String, List<String>> evaluated = new TreeMap<>();
        for (String pool : present) {
            if (choice.dispatcherNode(pool).equals(self)) {
                roles.of(pool)
                        .standby()
                        .ifPresent(standby -> evaluated
                                .computeIfAbsent(standby, name -> new ArrayList<>())
                                .add(pool));
            }
        }
        poolsByStandby = evaluated;
    }

    /** After a stall the recorded heartbeats say nothing, and other nodes may have replaced this one meanwhile. */
    private void checkForStall() {
        if (!stalls.check()) {
            return;
        }
        heldUntil = timers.nanoTime() + StandbyTimes.ANNOUNCEMENT_WAIT_NANOS;
        acting.prolong(heldUntil);
        if (stalls.lastStallNanos() < StandbyTimes.MAX_CONTINUED_STALL_NANOS) {
            continueAfterStall();
            return;
        }
        heartbeats.clear();
        List.copyOf(active.keySet()).forEach(pool -> returnPool(pool, "stalled"));
    }

    /** Other nodes still send groups here; ending the takeovers would move them twice if the dispatcher is silent. */
    private void continueAfterStall() {
        long now = timers.nanoTime();
        heartbeats.keySet().retainAll(active.keySet());
        heartbeats.replaceAll((pool, history) -> history.restarted(now));
        Map.copyOf(active).forEach(this::announce);
    }

    private boolean isHeldAfterStall(String pool) {
        if (!pools.get().contains(pool)) {
            return false;
        }
        checkForStall();
        return timers.nanoTime() - heldUntil < 0;
    }

    private long incarnationOf(String node) {
        return node.equals(self) ? incarnation : choice.incarnation(node).orElse(0);
    }

    private void drop(String node, String kind, String reason) {
        counters.recordDroppedMessage();
        if (log.allowsFailed(timers.nanoTime())) {
            LOGGER.warn("event=dispatch-message-dropped node={} kind={} reason={}", node, kind, reason);
        }
    }

    /** A takeover by this node. */
    private record ActiveTakeover(String dispatcher, long incarnation, long startedAt) {
        private TakeoverMessage message(String pool, boolean ends) {
            return new TakeoverMessage(pool, dispatcher, incarnation, ends);
        }
    }
}
