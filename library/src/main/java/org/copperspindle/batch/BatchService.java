package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.standby.ActingDispatchers;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.RequestNumbers;
import org.copperspindle.wire.WireMessage;

/**
 * Sends groups of pieces to the dispatcher of their pool, the node that batches the calls of the pool, and runs the
 * dispatchers of the pools that this node is responsible for. All nodes choose the dispatcher by rendezvous hashing
 * among the serving nodes, so that they agree without communicating. When a dispatcher is lost, the groups that wait
 * there are sent to the next one; pieces that it had already started are run again, which is allowed because they are
 * repeatable.
 */
public final class BatchService implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(BatchService.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Interval between load updates: three updates within the shortest call. */
    public static final long LOAD_INTERVAL_NANOS = Duration.ofMillis(80).toNanos();

    /**
     * Delay before the results made for a lost node are released. A node that is merely partitioned from this one
     * goes on with its requests and reads its results within about one and a half calls.
     */
    private static final long ORPHAN_RELEASE_DELAY_NANOS =
            Duration.ofMillis(600).toNanos();

    /** Shorter waits are sent in full updates only: a pool with half of its upstreams busy is not loaded. */
    private static final long SHORT_WAIT_MILLIS = 60;

    /**
     * Every so many intervals a full update also has the loads of pools with short waits and the expected pieces that
     * have not changed.
     */
    private static final int ROUNDS_PER_FULL_UPDATE = 5;

    private final ResultSink sink = new Sink();
    private final NodeMesh mesh;
    private final MeshRelay relay;
    private final DispatcherChooser chooser;
    private final TimerService timers;
    private final UpstreamDirectory directory;
    private final StagePort port;
    private final Function<String, Optional<BatchLimits>> limits;
    private final LogRateLimiter log;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private final ReceivedLoads loads;
    private final ExpectedPieces expectedPieces = new ExpectedPieces();
    private final PauseDetector pauseDetector = new PauseDetector();
    private final CancelledGroups cancelled = new CancelledGroups();
    private final ActingDispatchers acting;
    private final PendingGroups pending;
    private final DispatcherTakeovers takeovers;
    private final RequestNumbers groupIds = new RequestNumbers();

    private int round;
    private boolean fullUpdateNext;
    private long handledPauseAt;
    private CallAdmission admission = CallAdmission.ALL;
    private Supplier<Set<String>> shortage = Set::of;
    private Predicate<String> fillsCalls = pool -> false;
    private UpstreamPace pace = UpstreamPace.NONE;

    /**
     * Creates the service. The caller subscribes it to the mesh.
     *
     * @param relay     sends to other nodes, also through a third node
     * @param timers    timers of the network thread
     * @param directory the upstreams
     * @param port      sends calls to the upstreams of stage pools
     * @param limits    returns the limits of a pool's calls by its name, from the current route table
     * @param status    whether and how well this node can serve as dispatcher
     * @param log       limits the rate of log lines
     */
    public BatchService(
            MeshRelay relay,
            TimerService timers,
            UpstreamDirectory directory,
            StagePort port,
            Function<String, Optional<BatchLimits>> limits,
            DispatcherStatus status,
            LogRateLimiter log) {
        this.mesh = relay.mesh();
        this.relay = relay;
        this.timers = timers;
        this.directory = directory;
        this.port = port;
        this.limits = limits;
        this.chooser = new DispatcherChooser(relay, status);
        this.log = log;
        this.loads = new ReceivedLoads(log);
        this.acting = new ActingDispatchers(chooser, mesh.self(), timers::nanoTime);
        this.pending = new PendingGroups(relay, timers, acting, this::dispatcher, limits, sink);
        acting.subscribe(pending);
        this.takeovers = new DispatcherTakeovers(
                acting, mesh.self(), timers, pool -> Optional.ofNullable(dispatchers.get(pool)), this::sendFullUpdate);
        acting.subscribe(takeovers);
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Sets the admission of calls to upstreams. To be called before {@link #start}.
     *
     * @param bound the admission, checked before each call
     */
    public void limitCallsWith(CallAdmission bound) {
        admission = bound;
    }

    /**
     * Sets which pools are announced as short of capacity. To be called before {@link #start}.
     *
     * @param pools supplies their names, evaluated before each load update
     */
    public void announceShortage(Supplier<Set<String>> pools) {
        shortage = pools;
    }

    /**
     * Sets which pools are short of capacity, so that their calls are filled. To be called before {@link #start}.
     *
     * @param isShort whether the pool of a name is short
     */
    public void fillCallsWhile(Predicate<String> isShort) {
        fillsCalls = isShort;
    }

    /**
     * Sets what upstreams state of their pace. To be called before {@link #start}.
     *
     * @param stated the pace, which scales the expected durations of calls
     */
    public void scaleDurationsBy(UpstreamPace stated) {
        pace = stated;
    }

    /**
     * Returns an id for the next group.
     *
     * @return an id that this process has not used before
     */
    public long nextId() {
        return groupIds.next();
    }

    /**
     * Submits a group of pieces.
     *
     * @param group    the group, with an id from {@link #nextId}
     * @param listener receives the outcome of every piece, later on this thread
     */
    public void submit(PieceGroup group, PieceListener listener) {
        pending.submit(group, listener);
    }

    /**
     * Cancels a group whose results are no longer needed.
     *
     * @param id its id
     */
    public void cancel(long id) {
        pending.cancel(id);
    }

    /**
     * Releases results, so that their producers can free the memory.
     *
     * @param pool    pool that produced them
     * @param results the results
     */
    public void releaseResults(String pool, List<StageResult> results) {
        if (results.isEmpty()) {
            return;
        }
        release(actingDispatcher(pool), new ReleaseResultsMessage(pool, results, false));
        long retention =
                limits.apply(pool).map(BatchLimits::resultRetentionNanos).orElse(0L);
        acting.counterpart(pool, retention)
                .ifPresent(node -> release(node, new ReleaseResultsMessage(pool, results, true)));
    }

    private void release(String node, ReleaseResultsMessage message) {
        if (node.equals(mesh.self())) {
            onRelease(message);
        } else {
            relay.send(node, message);
        }
    }

    private void onRelease(ReleaseResultsMessage message) {
        PoolDispatcher dispatcher = dispatcher(message.pool());
        if (message.accountedOnly()) {
            dispatcher.recordReleased(message.results());
        } else {
            dispatcher.free(message.results());
        }
    }

    /**
     * Adds pieces that a request in progress will send to a pool later; a negative count removes pieces that it has
     * sent or will never send.
     *
     * @param pool   name of the pool
     * @param pieces number of pieces, negative to remove
     */
    public void addExpectedPieces(String pool, int pieces) {
        expectedPieces.add(pool, pieces);
    }

    /**
     * Starts to send the other nodes the wait times of the pools here and the pieces that requests of this node will
     * send.
     */
    public void start() {
        boolean full = ++round % ROUNDS_PER_FULL_UPDATE == 0 || fullUpdateNext;
        fullUpdateNext = false;
        checkForPause();
        if (chooser.hasLostNodes()) {
            chooser.removeExpired(timers.nanoTime());
            pending.moveOrphans();
        }
        expectedPieces.takeUpdates(full).forEach(this::sendExpectedPieces);
        Set<String> shortPools = shortage.get();
        // Nodes learn of the shortage from the loads of this dispatcher, which needs no pieces of its own for that.
        shortPools.stream().filter(this::isDispatchedHere).forEach(this::dispatcher);
        dispatchers.forEach((pool, dispatcher) -> broadcastLoad(pool, dispatcher, full, shortPools.contains(pool)));
        timers.schedule(LOAD_INTERVAL_NANOS, this::start);
    }

    /**
     * Returns the load of a pool.
     *
     * @param pool name of the pool
     * @return its load; {@link PoolLoad#UNKNOWN} if none is known or the known one is too old
     */
    public PoolLoad load(String pool) {
        long now = timers.nanoTime();
        PoolDispatcher own = dispatchers.get(pool);
        if (own != null && isDispatchedHere(pool)) {
            return own.load().withExpectedPieces(expectedPieces.total(pool, now) + expectedPieces.unsent(pool));
        }
        return loads.find(pool, now)
                .map(load -> load.withExpectedPieces(load.expectedPieces() + expectedPieces.unsent(pool)))
                .orElse(PoolLoad.UNKNOWN);
    }

    /**
     * Returns the work that the upstreams of a pool did in calls of this node's dispatcher.
     *
     * @param pool name of the pool
     * @return the work since this node started
     */
    public PoolWork work(String pool) {
        PoolDispatcher own = dispatchers.get(pool);
        return own == null ? PoolWork.NONE : own.work();
    }

    /**
     * Returns the number of pieces that wait at this node for an upstream.
     *
     * @return the number over all pools
     */
    public int waitingPieces() {
        return dispatchers.values().stream()
                .mapToInt(PoolDispatcher::waitingPieces)
                .sum();
    }

    /**
     * Returns the number of groups of this node's requests that are in progress.
     *
     * @return the number of groups
     */
    public int openGroups() {
        return pending.size();
    }

    @Override
    public void onNodeUp(MeshNode node) {
        chooser.onNodeUp(node);
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        checkForPause();
        if (message instanceof PieceGroup group) {
            onGroup(node.address(), group);
        } else if (message instanceof PieceCancelMessage cancel) {
            onCancel(node.address(), cancel);
        } else if (message instanceof ReleaseResultsMessage release) {
            onRelease(release);
        } else if (message instanceof PieceResultsMessage results) {
            pending.onResults(node.address(), results);
        } else if (message instanceof PoolLoadMessage load) {
            loads.put(node.address(), load, timers.nanoTime());
        } else if (message instanceof ExpectedPiecesMessage expected) {
            expectedPieces.onUpdate(node.address(), expected.pool(), expected.pieces(), timers.nanoTime());
        }
    }

    private void onGroup(String node, PieceGroup group) {
        acting.forwardTakeover(node, group.pool());
        if (!cancelled.contains(node, group.id())) {
            dispatcher(group.pool()).add(node, group);
        } else if (group.ownsInputs()) {
            sink.release(group.inputs());
        }
    }

    private void onCancel(String node, PieceCancelMessage cancel) {
        if (!cancel.moved()) {
            cancelled.add(node, cancel.group());
        }
        for (PoolDispatcher dispatcher : dispatchers.values()) {
            if (cancel.moved()) {
                dispatcher.withdraw(node, cancel.group());
            } else {
                dispatcher.cancel(node, cancel.group());
            }
        }
    }

    @Override
    public void onNodeDown(MeshNode node) {
        long now = timers.nanoTime();
        expectedPieces.forget(node.address());
        chooser.onNodeDown(node, now);
        chooser.removeExpired(now);
        pending.moveOrphans();
        long incarnation = node.incarnation();
        timers.schedule(ORPHAN_RELEASE_DELAY_NANOS, () -> releaseOrphans(node.address(), incarnation, now));
    }

    /**
     * Drops the groups of other nodes after a process pause that was long enough for them to consider this node dead.
     * They have sent those groups to another dispatcher by then; dispatched here as well, each piece would run twice,
     * just when a backlog has built up.
     */
    private void checkForPause() {
        pauseDetector.check(timers.nanoTime());
        boolean known = pauseDetector.pauseEndedAt() == handledPauseAt;
        if (known || pauseDetector.pauseNanos() < MeshSettings.LIMITS.silence().toNanos()) {
            return;
        }
        handledPauseAt = pauseDetector.pauseEndedAt();
        int dropped = dispatchers.entrySet().stream()
                .mapToInt(each -> each.getValue().dropGroupsOfOthers(mesh.self(), acting.isHeld(each.getKey())))
                .sum();
        LOGGER.warn(
                "event=standstill-noticed took_ms={} groups_dropped={}",
                pauseDetector.pauseNanos() / NANOS_PER_MILLI,
                dropped);
    }

    /**
     * Releases the results made for a node that is gone; they would fill the memory of their producers until they
     * expire.
     */
    private void releaseOrphans(String node, long incarnation, long downAt) {
        Optional<MeshNode> back = mesh.find(node);
        boolean sameIncarnation = back.isPresent() ? back.get().incarnation() == incarnation : relay.canReach(node);
        if (sameIncarnation) {
            return;
        }
        for (PoolDispatcher dispatcher : dispatchers.values()) {
            List<StageResult> results = dispatcher.forget(node, downAt);
            if (!results.isEmpty()) {
                LOGGER.info("event=orphans node={} results={}", node, results.size());
                dispatcher.free(results);
            }
        }
    }

    private void sendExpectedPieces(String pool, long pieces) {
        String owner = actingDispatcher(pool);
        if (owner.equals(mesh.self())) {
            expectedPieces.onUpdate(owner, pool, pieces, timers.nanoTime());
        } else {
            relay.send(owner, new ExpectedPiecesMessage(pool, pieces));
        }
    }

    /** After a change, the node that dispatches a pool does not have the counts that were sent to the other. */
    private void sendFullUpdate() {
        fullUpdateNext = true;
    }

    private boolean isDispatchedHere(String pool) {
        return actingDispatcher(pool).equals(mesh.self());
    }

    private void broadcastLoad(String pool, PoolDispatcher dispatcher, boolean full, boolean isShort) {
        PoolLoad load = dispatcher.load();
        long millis = load.waitNanos() / NANOS_PER_MILLI;
        if (!isDispatchedHere(pool) || millis < SHORT_WAIT_MILLIS && !full && !isShort) {
            return;
        }
        long expectedCount = expectedPieces.total(pool, timers.nanoTime());
        PoolLoadMessage message =
                new PoolLoadMessage(pool, millis, (long) load.piecesPerSecond(), expectedCount, isShort);
        mesh.broadcast(message);
        chooser.lostButReachable().forEach(node -> relay.send(node, message));
    }

    /**
     * Returns the dispatcher of a pool that membership designates, on which all nodes agree without messages.
     *
     * @param pool name of the pool
     * @return name of the dispatcher node
     */
    public String dispatcherNode(String pool) {
        return chooser.dispatcherNode(pool);
    }

    /**
     * Returns the node that dispatches a pool at present.
     *
     * @param pool name of the pool
     * @return name of the standby while it has taken over the pool, otherwise of the dispatcher
     */
    public String actingDispatcher(String pool) {
        return acting.of(pool);
    }

    /**
     * Returns the nodes that dispatch the pools at present, to which takeovers are applied.
     *
     * @return the acting dispatchers
     */
    public ActingDispatchers actingDispatchers() {
        return acting;
    }

    private PoolDispatcher dispatcher(String pool) {
        return dispatchers.computeIfAbsent(
                pool,
                name -> new PoolDispatcher(name, directory, timers, port, () -> limits.apply(name), sink, log)
                        .withPauseDetector(pauseDetector)
                        .startOnlyFor(() -> takeovers.startable(name))
                        .limitCallsWith(admission)
                        .scaleDurationsBy(pace)
                        .fillCallsWhile(() -> fillsCalls.test(name)));
    }

    private void upstreamChanged(UpstreamRecord changed) {
        Optional.ofNullable(dispatchers.get(changed.pool())).ifPresent(PoolDispatcher::dispatch);
    }

    /** Forwards the results of this node's dispatchers. */
    private final class Sink implements ResultSink {
        @Override
        public void deliver(String origin, PieceResultsMessage results) {
            if (origin.equals(mesh.self())) {
                pending.onResults(origin, results);
            } else {
                relay.send(origin, results);
            }
        }

        @Override
        public void release(List<StageResult> results) {
            Map<String, List<StageResult>> byPool = new HashMap<>();
            results.stream()
                    .map(this::nameProducer)
                    .forEach(result -> directory
                            .find(result.producer())
                            .ifPresent(producer -> byPool.computeIfAbsent(producer.pool(), p -> new ArrayList<>())
                                    .add(result)));
            byPool.forEach(BatchService.this::releaseResults);
        }

        /** Names the producer of a result that a node of a former build has passed on, if it was made for this node. */
        private StageResult nameProducer(StageResult result) {
            return dispatchers.values().stream()
                    .map(dispatcher -> dispatcher.nameProducer(result))
                    .flatMap(Optional::stream)
                    .findFirst()
                    .orElse(result);
        }
    }
}
