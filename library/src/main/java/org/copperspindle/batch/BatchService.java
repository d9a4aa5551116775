package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import net.openhft.hashing.LongHashFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamNews;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Takes groups of pieces to the node that packs the calls of their pool, and packs those of the pools that fall to this
 * node. All nodes choose by rendezvous among the nodes that serve, so that they agree without asking. When that node is
 * lost, the groups that wait at it go to the next one; pieces that it had begun are made again, which they may be.
 */
public final class BatchService implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(BatchService.class);
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Loads are told this often: three times in the shortest call. */
    private static final long LOAD_INTERVAL_NANOS = Duration.ofMillis(80).toNanos();

    /** A load that was not told again for so long has ended, or its node has. */
    private static final long LOAD_AGE_NANOS = Duration.ofMillis(600).toNanos();

    /** A wait below this is told less often: half of a pool's upstreams busy is no load. */
    private static final long QUIET_MILLIS = 60;

    /** Every so many intervals loads of quiet pools are told as well, and promises that have not changed. */
    private static final int FULL_ROUNDS = 5;

    private final NodeMesh mesh;
    private final TimerService timers;
    private final UpstreamDirectory directory;
    private final StagePort port;
    private final Function<String, Optional<BatchLimits>> limits;
    private final BooleanSupplier serving;
    private final boolean packing;
    private final DecisionLog log;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private final Map<String, Load> loads = new HashMap<>();
    private final PiecePromises promises = new PiecePromises();
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private final PoolDispatcher.ResultSink sink = new Sink();
    private long lastId;
    private int round;

    /**
     * Creates the service; to be subscribed to the mesh.
     *
     * @param mesh      the nodes
     * @param timers    time on the network thread
     * @param directory the upstreams
     * @param port      speaks to the upstreams of stage pools
     * @param limits    limits of a pool's calls by its name, as the route table held gives them
     * @param serving   whether this node takes work for others
     * @param packing   whether its VM is large enough to pack calls for others
     * @param log       bounds log lines
     */
    public BatchService(
            NodeMesh mesh,
            TimerService timers,
            UpstreamDirectory directory,
            StagePort port,
            Function<String, Optional<BatchLimits>> limits,
            BooleanSupplier serving,
            boolean packing,
            DecisionLog log) {
        this.mesh = mesh;
        this.timers = timers;
        this.directory = directory;
        this.port = port;
        this.limits = limits;
        this.serving = serving;
        this.packing = packing;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
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
            mesh.find(entry.owner).ifPresent(node -> node.send(new PieceCancelMessage(id)));
        }
    }

    /**
     * Gives results up.
     *
     * @param pool    pool that made them
     * @param handles their handles
     */
    public void free(String pool, List<String> handles) {
        String owner = owner(pool);
        if (handles.isEmpty()) {
            return;
        }
        if (owner.equals(mesh.self())) {
            dispatcher(pool).free(handles);
        } else {
            mesh.find(owner).ifPresent(node -> node.send(new FreeResultsMessage(pool, handles)));
        }
    }

    /**
     * Notes that a request has begun which will send pieces to a pool later, or, below zero, that it has sent them or
     * never will.
     *
     * @param pool   name of the pool
     * @param pieces how many
     */
    public void promise(String pool, int pieces) {
        promises.add(pool, pieces);
    }

    /** Begins to tell the other nodes how long pieces wait here, and what requests of this node will send. */
    public void start() {
        boolean full = ++round % FULL_ROUNDS == 0;
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
        if (own != null && owner(pool).equals(mesh.self())) {
            return own.load().withPromised(promises.total(pool, now) + promises.untold(pool));
        }
        Load load = loads.get(pool);
        boolean known = load != null && now - load.at() < LOAD_AGE_NANOS;
        return known ? load.load().withPromised(load.load().promised() + promises.untold(pool)) : PoolLoad.UNKNOWN;
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
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof PieceGroup group) {
            dispatcher(group.pool()).add(node.address(), group);
        } else if (message instanceof PieceCancelMessage cancel) {
            dispatchers.values().forEach(d -> d.cancel(node.address(), cancel.group()));
        } else if (message instanceof FreeResultsMessage free) {
            dispatcher(free.pool()).free(free.handles());
        } else if (message instanceof PieceResultsMessage results) {
            received(node.address(), results);
        } else if (message instanceof PoolLoadMessage load) {
            PoolLoad heard = new PoolLoad(load.waitMillis() * NANOS_PER_MILLI, load.perSecond(), load.promised());
            loads.put(load.pool(), new Load(heard, timers.nanoTime()));
        } else if (message instanceof PoolPromiseMessage promise) {
            promises.heard(node.address(), promise.pool(), promise.pieces(), timers.nanoTime());
        }
    }

    @Override
    public void onNodeDown(MeshNode node) {
        promises.forget(node.address());
        List<Pending> orphans = pending.values().stream()
                .filter(p -> p.owner.equals(node.address()))
                .toList();
        if (!orphans.isEmpty()) {
            LOGGER.warn("event=dispatcher-lost node={} groups={}", node.address(), orphans.size());
        }
        orphans.forEach(this::forward);
    }

    private void tellPromise(String pool, long pieces) {
        String owner = owner(pool);
        if (owner.equals(mesh.self())) {
            promises.heard(owner, pool, pieces, timers.nanoTime());
        } else {
            mesh.find(owner).ifPresent(node -> node.send(new PoolPromiseMessage(pool, pieces)));
        }
    }

    private void tellLoad(String pool, PoolDispatcher dispatcher, boolean full) {
        PoolLoad load = dispatcher.load();
        long millis = load.waitNanos() / NANOS_PER_MILLI;
        if (!owner(pool).equals(mesh.self()) || millis < QUIET_MILLIS && !full) {
            return;
        }
        long promised = promises.total(pool, timers.nanoTime());
        mesh.broadcast(new PoolLoadMessage(pool, millis, (long) load.piecesPerSecond(), promised));
    }

    private void forward(Pending entry) {
        long elapsed = (timers.nanoTime() - entry.at) / NANOS_PER_MILLI;
        PieceGroup group = entry.group.after(elapsed, entry.missing);
        entry.owner = owner(group.pool());
        if (!entry.owner.equals(mesh.self())) {
            if (mesh.find(entry.owner).filter(node -> node.send(group)).isPresent()) {
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

    /** Chooses among the nodes that serve, by rendezvous; small VMs only if there is no other. */
    private String owner(String pool) {
        String best = "";
        boolean large = false;
        long most = 0;
        if (serving.getAsBoolean()) {
            best = mesh.self();
            large = packing;
            most = score(pool, best);
        }
        for (MeshNode node : mesh.nodes()) {
            if (!node.hello().serving()) {
                continue;
            }
            long score = score(pool, node.address());
            boolean larger = node.hello().packing() && !large;
            if (best.isEmpty() || larger || node.hello().packing() == large && score > most) {
                best = node.address();
                large = node.hello().packing();
                most = score;
            }
        }
        return best.isEmpty() ? mesh.self() : best;
    }

    private static long score(String pool, String node) {
        return HASH.hashChars(pool + '@' + node);
    }

    private PoolDispatcher dispatcher(String pool) {
        return dispatchers.computeIfAbsent(
                pool, name -> new PoolDispatcher(name, directory, timers, port, () -> limits.apply(name), sink, log));
    }

    private void upstreamChanged(UpstreamNews news) {
        PoolDispatcher dispatcher = dispatchers.get(news.pool());
        if (dispatcher != null) {
            dispatcher.dispatch();
        }
    }

    private record Load(PoolLoad load, long at) {}

    /** What the dispatchers of this node hand on. */
    private final class Sink implements PoolDispatcher.ResultSink {
        @Override
        public void deliver(String origin, PieceResultsMessage results) {
            if (origin.equals(mesh.self())) {
                received(origin, results);
            } else {
                mesh.find(origin).ifPresent(node -> node.send(results));
            }
        }

        @Override
        public void giveUp(List<String> handles) {
            Map<String, List<String>> byPool = new HashMap<>();
            for (String handle : handles) {
                ResultHandle.makerAddress(handle)
                        .flatMap(directory::findByAddress)
                        .map(UpstreamNews::pool)
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
