package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.routing.RendezvousScore;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Takes groups of pieces to the node that packs the calls of their pool, and packs those of the pools that fall to this
 * node. All nodes choose by rendezvous among the nodes that serve, so that they agree without asking. When that node is
 * lost, the groups that wait at it go to the next one; pieces that it had begun are made again, which they may be.
 */
public final class BatchService implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(BatchService.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Loads are told this often: three times in the shortest call. */
    static final long LOAD_INTERVAL_NANOS = Duration.ofMillis(80).toNanos();

    /** A load that was not told again for so long has ended, or its node has. */
    private static final long LOAD_AGE_NANOS = Duration.ofMillis(600).toNanos();

    /**
     * After which results of a lost node are given up. A node that is only cut off from this one goes on with its requests
     * and reads what it has got within about a call and a half.
     */
    private static final long ORPHAN_NANOS = Duration.ofMillis(600).toNanos();

    /** A cut lasts for some seconds; a node that is lost for longer does not come back as it was. */
    private static final long DISTANT_NANOS = Duration.ofSeconds(20).toNanos();

    /** A wait below this is told less often: half of a pool's upstreams busy is no load. */
    private static final long QUIET_MILLIS = 60;

    /** Every so many intervals loads of quiet pools are told as well, and promises that have not changed. */
    private static final int FULL_ROUNDS = 5;

    private final NodeMesh mesh;
    private final MeshRelay relay;
    private final Map<String, Distant> distant = new HashMap<>();
    private final TimerService timers;
    private final UpstreamDirectory directory;
    private final StagePort port;
    private final Function<String, Optional<BatchLimits>> limits;
    private final DispatcherStatus status;
    private final DecisionLog log;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private final Map<String, Load> loads = new HashMap<>();
    private final ExpectedPieces promises = new ExpectedPieces();
    private final PauseDetector standstills = new PauseDetector();
    private final Map<Long, Pending> pending = new LinkedHashMap<>();

    /**
     * Groups are numbered from a random start. A node that is back at once would else number its first groups like those of
     * its life before, and results of a call that still runs for the old one would be taken for the new one's.
     */
    private long lastId = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE / 2);

    private final PoolDispatcher.ResultSink sink = new Sink();
    private int round;
    private long droppedAt;
    private CallAdmission admission = CallAdmission.ALL;

    /**
     * Creates the service; to be subscribed to the mesh.
     *
     * @param relay     the nodes, also those that are reached through others
     * @param timers    time on the network thread
     * @param directory the upstreams
     * @param port      speaks to the upstreams of stage pools
     * @param limits    limits of a pool's calls by its name, as the route table held gives them
     * @param status    this node's own part in packing
     * @param log       bounds log lines
     */
    public BatchService(
            MeshRelay relay,
            TimerService timers,
            UpstreamDirectory directory,
            StagePort port,
            Function<String, Optional<BatchLimits>> limits,
            DispatcherStatus status,
            DecisionLog log) {
        this.mesh = relay.mesh();
        this.relay = relay;
        this.timers = timers;
        this.directory = directory;
        this.port = port;
        this.limits = limits;
        this.status = status;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Sets what bounds calls; before {@link #start}.
     *
     * @param bound asked before each call
     */
    public void limitCallsWith(CallAdmission bound) {
        admission = bound;
    }

    /**
     * Returns a number for the next group.
     *
     * @return never used before in this life of the process
     */
    public long nextId() {
        return ++lastId;
    }

    /**
     * Has the pieces of a group made.
     *
     * @param group    the group, numbered by {@link #nextId}
     * @param listener told of every piece, later on this thread
     */
    public void submit(PieceGroup group, PieceListener listener) {
        Pending entry = new Pending(group, listener, timers.nanoTime());
        pending.put(group.id(), entry);
        forward(entry);
    }

    /**
     * Drops a group that nobody waits for any more.
     *
     * @param id its number
     */
    public void cancel(long id) {
        Pending entry = pending.remove(id);
        if (entry == null) {
            return;
        }
        if (entry.owner.equals(mesh.self())) {
            dispatcher(entry.group.pool()).cancel(mesh.self(), id);
        } else {
            relay.send(entry.owner, new PieceCancelMessage(id));
        }
    }

    /**
     * Gives results up.
     *
     * @param pool    pool that made them
     * @param handles their handles
     */
    public void free(String pool, List<String> handles) {
        String owner = dispatcherNode(pool);
        if (handles.isEmpty()) {
            return;
        }
        if (owner.equals(mesh.self())) {
            dispatcher(pool).free(handles);
        } else {
            relay.send(owner, new FreeResultsMessage(pool, handles));
        }
    }

    /**
     * Notes that a request has begun which will send pieces to a pool later, or, below zero, that it has sent them or
     * never will.
     *
     * @param pool   name of the pool
     * @param pieces how many
     */
    public void addExpectedPieces(String pool, int pieces) {
        promises.add(pool, pieces);
    }

    /** Begins to tell the other nodes how long pieces wait here, and what requests of this node will send. */
    public void start() {
        boolean full = ++round % FULL_ROUNDS == 0;
        lookForStandstill();
        if (!distant.isEmpty()) {
            moveOrphans();
        }
        promises.tell(full).forEach(this::tellPromise);
        dispatchers.forEach((pool, dispatcher) -> tellLoad(pool, dispatcher, full));
        timers.schedule(LOAD_INTERVAL_NANOS, this::start);
    }

    /**
     * Returns how loaded a pool is.
     *
     * @param pool name of the pool
     * @return its load; {@link PoolLoad#UNKNOWN} if nothing is known or what is known is old
     */
    public PoolLoad load(String pool) {
        long now = timers.nanoTime();
        PoolDispatcher own = dispatchers.get(pool);
        if (own != null && dispatcherNode(pool).equals(mesh.self())) {
            return own.load().withPromised(promises.total(pool, now) + promises.untold(pool));
        }
        Load load = loads.get(pool);
        boolean known = load != null && now - load.at() < LOAD_AGE_NANOS;
        return known
                ? load.load().withPromised(load.load().expectedPieces() + promises.untold(pool))
                : PoolLoad.UNKNOWN;
    }

    /**
     * Returns what the upstreams of a pool did in calls that this node packed.
     *
     * @param pool name of the pool
     * @return the work since the start
     */
    public PoolWork work(String pool) {
        PoolDispatcher own = dispatchers.get(pool);
        return own == null ? PoolWork.NONE : own.work();
    }

    /**
     * Returns how many pieces wait at this node for an upstream.
     *
     * @return a count over all pools
     */
    public int waitingPieces() {
        return dispatchers.values().stream()
                .mapToInt(PoolDispatcher::waitingPieces)
                .sum();
    }

    /**
     * Returns how many groups of this node's requests are under way.
     *
     * @return a count
     */
    public int openGroups() {
        return pending.size();
    }

    @Override
    public void onNodeUp(MeshNode node) {
        distant.remove(node.address());
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        lookForStandstill();
        if (message instanceof PieceGroup group) {
            dispatcher(group.pool()).add(node.address(), group);
        } else if (message instanceof PieceCancelMessage cancel) {
            dispatchers.values().forEach(d -> d.cancel(node.address(), cancel.group()));
        } else if (message instanceof FreeResultsMessage free) {
            dispatcher(free.pool()).free(free.handles());
        } else if (message instanceof PieceResultsMessage results) {
            received(node.address(), results);
        } else if (message instanceof PoolLoadMessage load) {
            PoolLoad heard = new PoolLoad(load.waitMillis() * NANOS_PER_MILLI, load.perSecond(), load.expectedPieces());
            loads.put(load.pool(), new Load(heard, timers.nanoTime()));
        } else if (message instanceof ExpectedPiecesMessage promise) {
            promises.heard(node.address(), promise.pool(), promise.pieces(), timers.nanoTime());
        }
    }

    @Override
    public void onNodeDown(MeshNode node) {
        long now = timers.nanoTime();
        promises.forget(node.address());
        distant.put(node.address(), new Distant(node.hello(), now));
        moveOrphans();
        long life = node.incarnation();
        timers.schedule(ORPHAN_NANOS, () -> giveUpOrphans(node.address(), life, now));
    }

    /**
     * Drops the groups of other nodes after a standstill that was long enough for them to have found this node dead. They have them
     * made elsewhere by now: packed here as well, each piece would be made twice, in the very moment in which work has piled up.
     */
    private void lookForStandstill() {
        standstills.look(timers.nanoTime());
        boolean known = standstills.wokeAt() == droppedAt;
        if (known || standstills.stoodNanos() < MeshSettings.LIMITS.silence().toNanos()) {
            return;
        }
        droppedAt = standstills.wokeAt();
        int dropped = dispatchers.values().stream()
                .mapToInt(dispatcher -> dispatcher.dropOthers(mesh.self()))
                .sum();
        LOGGER.warn(
                "event=standstill-noticed took_ms={} groups_dropped={}",
                standstills.stoodNanos() / NANOS_PER_MILLI,
                dropped);
    }

    /** Takes groups whose node is gone, for this one and for all that this one reaches, to another node. */
    private void moveOrphans() {
        long now = timers.nanoTime();
        distant.values().removeIf(lost -> now - lost.since() > DISTANT_NANOS);
        List<Pending> orphans = pending.values().stream()
                .filter(p -> !p.owner.equals(mesh.self()) && !relay.canReach(p.owner))
                .toList();
        if (!orphans.isEmpty()) {
            LOGGER.warn("event=dispatcher-lost node={} groups={}", orphans.get(0).owner, orphans.size());
        }
        orphans.forEach(this::forward);
    }

    /** Results of a node that is gone would fill their makers' memory until these forget them. */
    private void giveUpOrphans(String node, long life, long downAt) {
        Optional<MeshNode> back = mesh.find(node);
        boolean lives = back.isPresent() ? back.get().incarnation() == life : relay.canReach(node);
        if (lives) {
            return;
        }
        for (PoolDispatcher dispatcher : dispatchers.values()) {
            List<String> made = dispatcher.forget(node, downAt);
            if (!made.isEmpty()) {
                LOGGER.info("event=orphans node={} results={}", node, made.size());
                dispatcher.free(made);
            }
        }
    }

    private void tellPromise(String pool, long pieces) {
        String owner = dispatcherNode(pool);
        if (owner.equals(mesh.self())) {
            promises.heard(owner, pool, pieces, timers.nanoTime());
        } else {
            relay.send(owner, new ExpectedPiecesMessage(pool, pieces));
        }
    }

    private void tellLoad(String pool, PoolDispatcher dispatcher, boolean full) {
        PoolLoad load = dispatcher.load();
        long millis = load.waitNanos() / NANOS_PER_MILLI;
        if (!dispatcherNode(pool).equals(mesh.self()) || millis < QUIET_MILLIS && !full) {
            return;
        }
        long promised = promises.total(pool, timers.nanoTime());
        PoolLoadMessage message = new PoolLoadMessage(pool, millis, (long) load.piecesPerSecond(), promised);
        mesh.broadcast(message);
        distant.keySet().stream().filter(relay::canReach).forEach(node -> relay.send(node, message));
    }

    private void forward(Pending entry) {
        long elapsed = (timers.nanoTime() - entry.at) / NANOS_PER_MILLI;
        PieceGroup group = entry.group.after(elapsed, entry.missing);
        entry.owner = dispatcherNode(group.pool());
        if (!entry.owner.equals(mesh.self())) {
            if (relay.send(entry.owner, group)) {
                return;
            }
            entry.owner = mesh.self();
        }
        // Later, so that no caller hears of results while it is still submitting.
        timers.schedule(0, () -> {
            if (pending.containsKey(group.id())) {
                dispatcher(group.pool()).add(mesh.self(), group);
            }
        });
    }

    private void received(String from, PieceResultsMessage results) {
        Pending entry = pending.get(results.group());
        if (entry == null || !entry.owner.equals(from)) {
            freeUnwanted(results);
            return;
        }
        List<PieceResult> wanted = new ArrayList<>();
        for (PieceResult result : results.results()) {
            if (entry.missing.remove((Integer) result.piece())) {
                wanted.add(result);
            }
        }
        if (entry.missing.isEmpty()) {
            pending.remove(results.group());
        }
        if (!wanted.isEmpty()) {
            entry.listener.onResults(wanted);
        }
    }

    /** Results that came after their request was given up, or from a node that is no longer asked, hold memory. */
    private void freeUnwanted(PieceResultsMessage results) {
        List<String> handles = new ArrayList<>();
        for (PieceResult result : results.results()) {
            if (result.outcome() instanceof PieceOutcome.Made made) {
                handles.add(made.handle());
            }
        }
        sink.giveUp(handles);
    }

    /**
     * Chooses the node that packs the calls of a pool: among those that serve the fittest, by rendezvous. Nodes that only others
     * reach count as well, so that all choose the same one.
     *
     * @param pool name of the pool
     * @return name of the node
     */
    public String dispatcherNode(String pool) {
        String best = mesh.self();
        int fitness = status.isServing() ? status.fitness() : Integer.MIN_VALUE;
        long most = RendezvousScore.of(pool, best);
        for (MeshNode node : mesh.nodes()) {
            if (isBetter(pool, node.address(), node.hello(), fitness, most)) {
                best = node.address();
                fitness = node.hello().fitness();
                most = RendezvousScore.of(pool, best);
            }
        }
        for (Map.Entry<String, Distant> lost : distant.entrySet()) {
            NodeHelloMessage hello = lost.getValue().hello();
            if (isBetter(pool, lost.getKey(), hello, fitness, most) && relay.canReach(lost.getKey())) {
                best = lost.getKey();
                fitness = hello.fitness();
                most = RendezvousScore.of(pool, best);
            }
        }
        return best;
    }

    private static boolean isBetter(String pool, String node, NodeHelloMessage hello, int fitness, long most) {
        int fit = hello.fitness();
        return hello.serving() && (fit > fitness || fit == fitness && RendezvousScore.of(pool, node) > most);
    }

    private PoolDispatcher dispatcher(String pool) {
        return dispatchers.computeIfAbsent(
                pool,
                name -> new PoolDispatcher(name, directory, timers, port, () -> limits.apply(name), sink, log)
                        .judgingBy(standstills)
                        .limitCallsWith(admission));
    }

    private void upstreamChanged(UpstreamRecord news) {
        PoolDispatcher dispatcher = dispatchers.get(news.pool());
        if (dispatcher != null) {
            dispatcher.dispatch();
        }
    }

    private record Load(PoolLoad load, long at) {}

    /** A node that was lost a short while ago, and what it said of itself last. */
    private record Distant(NodeHelloMessage hello, long since) {}

    /** What the dispatchers of this node hand on. */
    private final class Sink implements PoolDispatcher.ResultSink {
        @Override
        public void deliver(String origin, PieceResultsMessage results) {
            if (origin.equals(mesh.self())) {
                received(origin, results);
            } else {
                relay.send(origin, results);
            }
        }

        @Override
        public void giveUp(List<String> handles) {
            Map<String, List<String>> byPool = new HashMap<>();
            for (String handle : handles) {
                ResultHandle.producerAddress(handle)
                        .flatMap(directory::findByAddress)
                        .map(UpstreamRecord::pool)
                        .ifPresent(pool -> byPool.computeIfAbsent(pool, p -> new ArrayList<>())
                                .add(handle));
            }
            byPool.forEach(BatchService.this::free);
        }
    }

    /** A group on its way. */
    private static final class Pending {
        private final PieceGroup group;
        private final PieceListener listener;
        private final long at;
        private final List<Integer> missing;
        private String owner = "";

        private Pending(PieceGroup group, PieceListener listener, long at) {
            this.group = group;
            this.listener = listener;
            this.at = at;
            this.missing = new ArrayList<>(group.missing());
        }
    }
}
