package org.copperspindle.engineload;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Measures the engines of pools over all nodes. Each node counts its own attempts and reports them to the load owner
 * of the pool, which sends a table to all nodes. Without a fresh table nothing is estimated, and engines are chosen
 * without regard to their pace. Network thread only.
 */
public final class EngineLoads implements MeshListener {

    static final double NANOS_PER_SECOND = 1e9;

    /** Longest interval of reports and tables: a fraction of the time in which an engine reads a long prompt. */
    static final long INTERVAL_NANOS = Duration.ofMillis(160).toNanos();

    /** Interval for small pools, which can have more frequent tables within the traffic that a node may cause. */
    static final long SHORT_INTERVAL_NANOS = INTERVAL_NANOS / 2;

    /** Engines of a small pool. Its tables take at most 9 KB/s, with the changes between two regular tables. */
    static final int SMALL_POOL = 40;

    private static final Logger LOGGER = LogManager.getLogger(EngineLoads.class);

    private final NodeMesh mesh;
    private final TimerService timers;
    private final UpstreamDirectory directory;
    private final Function<String, String> owners;
    private final Predicate<String> isEnginePool;
    private final LogRateLimiter log;
    private final Map<String, NodePool> pools = new HashMap<>();
    private final Map<String, OwnerPool> owned = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final CachedParts cachedParts = new CachedParts();
    private boolean regular;
    private long dropped;

    /**
     * Creates the service. The caller subscribes it to the mesh.
     *
     * @param mesh         the nodes
     * @param timers       timers of the network thread
     * @param directory    the upstreams
     * @param owners       returns the address of the load owner of a pool by its name
     * @param isEnginePool returns whether a pool of that name has engines, from the current route table
     * @param log          limits the rate of log lines
     */
    public EngineLoads(
            NodeMesh mesh,
            TimerService timers,
            UpstreamDirectory directory,
            Function<String, String> owners,
            Predicate<String> isEnginePool,
            LogRateLimiter log) {
        this.mesh = mesh;
        this.timers = timers;
        this.directory = directory;
        this.owners = owners;
        this.isEnginePool = isEnginePool;
        this.log = log;
        directory.subscribe(this::onUpstreamChange);
    }

    /** Starts to report and to send tables. */
    public void start() {
        long now = timers.nanoTime();
        regular = !regular;
        pools.values().stream().filter(pool -> regular || isSmall(pool.name())).forEach(pool -> report(pool, now));
        owned.keySet().removeIf(pool -> !isOwner(pool));
        owned.values().stream().filter(pool -> regular || isSmall(pool.name())).forEach(pool -> sendTable(pool, now));
        timers.schedule(SHORT_INTERVAL_NANOS, this::start);
    }

    /**
     * Counts an attempt that is sent now.
     *
     * @param pool   name of its pool
     * @param engine its target
     * @param prompt its prompt
     * @return takes the progress and the end of the attempt; counts nothing if the pool has no engines
     */
    public EngineAttempt sent(String pool, UpstreamRecord engine, EnginePrompt prompt) {
        if (!isEnginePool.test(pool)) {
            return EngineAttempt.NONE;
        }
        long now = timers.nanoTime();
        NodePool known = pool(pool);
        boolean cached = isCached(engine, prompt, home(pool, new RendezvousScores(prompt.shared())), now);
        long unread = prompt.unreadTokens(cached);
        known.sent(unread);
        cachedParts.add(engine, prompt.shared(), now);
        EngineAttempt attempt = EngineAttempt.start(known.engine(engine), unread, now, () -> reportSoon(known));
        reportSoon(known);
        return attempt;
    }

    /**
     * Returns estimates to choose an engine by.
     *
     * @param pool   name of the pool
     * @param prompt the prompt
     * @return the estimates; empty unless the engines of the pool differ and the table is fresh
     */
    public Optional<EngineEstimates> estimates(String pool, EnginePrompt prompt) {
        long now = timers.nanoTime();
        NodePool known = pools.get(pool);
        if (known == null || !known.differs(now)) {
            return Optional.empty();
        }
        RendezvousScores scores = new RendezvousScores(prompt.shared());
        String home = home(pool, scores);
        return Optional.of(new EngineEstimates() {
            @Override
            public long score(UpstreamRecord engine) {
                return scores.of(engine);
            }

            @Override
            public EngineEstimate at(UpstreamRecord engine) {
                return known.estimate(engine, prompt, isCached(engine, prompt, home, now), now)
                        .orElseThrow();
            }

            @Override
            public long unseenTokens() {
                return known.unseenTokens(now);
            }
        });
    }

    /**
     * Returns the estimate for an attempt that would be sent now.
     *
     * @param pool   name of the pool
     * @param engine its target
     * @param prompt its prompt
     * @return the estimate; empty without a fresh table
     */
    public Optional<EngineEstimate> estimate(String pool, UpstreamRecord engine, EnginePrompt prompt) {
        long now = timers.nanoTime();
        NodePool known = pools.get(pool);
        if (known == null || !known.isFresh(now)) {
            return Optional.empty();
        }
        return known.estimate(
                engine, prompt, isCached(engine, prompt, home(pool, new RendezvousScores(prompt.shared())), now), now);
    }

    /**
     * Returns the pace of the slowest engine of a pool.
     *
     * @param pool name of the pool
     * @return speed relative to the median of the pool; 1 without a fresh table
     */
    public double slowestPace(String pool) {
        NodePool known = pools.get(pool);
        return known != null && known.isFresh(timers.nanoTime()) ? known.slowestPace() : 1;
    }

    /**
     * Returns the prompt tokens that engines of a pool have not read.
     *
     * @param pool name of the pool
     * @return tokens of all nodes, or of this node alone without a fresh table
     */
    public long waitingTokens(String pool) {
        NodePool known = pools.get(pool);
        return known == null ? 0 : known.waitingTokens(timers.nanoTime());
    }

    /**
     * Returns the attempts of this node that are in progress at engines of a pool.
     *
     * @param pool name of the pool
     * @return a count
     */
    public long streams(String pool) {
        NodePool known = pools.get(pool);
        return known == null ? 0 : known.streams();
    }

    /**
     * Returns the age of the table of a pool.
     *
     * @param pool name of the pool
     * @return seconds, negative if there is none
     */
    public double tableAgeSeconds(String pool) {
        NodePool known = pools.get(pool);
        return known == null ? -1 : known.tableAgeSeconds(timers.nanoTime());
    }

    /**
     * Returns how many messages were dropped because of impossible values.
     *
     * @return the number since the start
     */
    public long droppedMessages() {
        return dropped;
    }

    @Override
    public void onNodeUp(MeshNode node) {
        owned.values().forEach(pool -> pool.nodeUp(node.address()));
        pools.values().stream()
                .filter(pool -> pool.owner().equals(node.address()))
                .forEach(NodePool::startAnew);
    }

    @Override
    public void onConnectionLost(MeshNode node) {
        onNodeUp(node);
    }

    @Override
    public void onNodeDown(MeshNode node) {
        owned.values().forEach(pool -> pool.forgetNode(node.address()));
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof EngineSamplesMessage samples) {
            if (isAcceptable(node, samples.pool(), samples.isPlausible())) {
                merge(node.address(), samples);
            }
        } else if (message instanceof EngineLoadsMessage loads
                && isAcceptable(node, loads.pool(), loads.isPlausible())
                && owners.apply(loads.pool()).equals(node.address())) {
            accept(loads, node.address());
        }
    }

    /** Forgets what is known of an engine that has left or started again. */
    private void onUpstreamChange(UpstreamRecord update) {
        boolean isGone = update.phase() == UpstreamPhase.GONE;
        Long before = isGone ? incarnations.remove(update.id()) : incarnations.put(update.id(), update.incarnation());
        if (before == null || !isGone && before == update.incarnation()) {
            return;
        }
        pools.values().forEach(pool -> pool.forget(update.id()));
        owned.values().forEach(pool -> pool.forgetEngine(update.id()));
    }

    /** Reports before the interval ends if that is allowed: a node with few requests would otherwise report late. */
    private void reportSoon(NodePool pool) {
        long now = timers.nanoTime();
        if (pool.mayReport(isSmall(pool.name()) ? SHORT_INTERVAL_NANOS : INTERVAL_NANOS, now)) {
            report(pool, now);
        }
    }

    private void report(NodePool pool, long now) {
        String owner = owners.apply(pool.name());
        pool.ownedBy(owner);
        Optional<EngineSamplesMessage> report = pool.report(now);
        if (report.isEmpty()) {
            return;
        }
        EngineSamplesMessage message = report.get();
        if (owner.equals(mesh.self())) {
            merge(owner, message);
            pool.reported(message, now);
        } else if (mesh.find(owner).map(node -> node.send(message)).orElse(false)) {
            pool.reported(message, now);
        }
    }

    private void merge(String node, EngineSamplesMessage message) {
        if (isOwner(message.pool())) {
            owned.computeIfAbsent(message.pool(), this::startToOwn).model().merge(node, message, timers.nanoTime());
        }
    }

    private OwnerPool startToOwn(String name) {
        LOGGER.info("event=engine-load-owner pool={} node={}", name, mesh.self());
        return new OwnerPool(name);
    }

    private void sendTable(OwnerPool pool, long now) {
        pool.update(log, now);
        for (String node : pool.takeNewNodes()) {
            mesh.find(node).ifPresent(found -> found.send(pool.whole(now)));
        }
        pool.takeChanges(regular, now).ifPresent(message -> {
            mesh.broadcast(message);
            accept(message, mesh.self());
        });
    }

    private void accept(EngineLoadsMessage message, String owner) {
        NodePool pool = pool(message.pool());
        pool.ownedBy(owner);
        pool.accept(message, timers.nanoTime());
    }

    private boolean isOwner(String pool) {
        return owners.apply(pool).equals(mesh.self());
    }

    private boolean isAcceptable(MeshNode node, String pool, boolean isPlausible) {
        if (isPlausible && isEnginePool.test(pool)) {
            return true;
        }
        dropped++;
        if (log.allowsFailed(timers.nanoTime())) {
            LOGGER.warn("event=engine-load-dropped node={} plausible={}", node.address(), isPlausible);
        }
        return false;
    }

    private boolean isSmall(String pool) {
        return directory.ready(pool).size() <= SMALL_POOL;
    }

    private NodePool pool(String name) {
        return pools.computeIfAbsent(name, NodePool::new);
    }

    /** Returns the engine to which requests with the shared part of a prompt go while the engines are equal. */
    private String home(String pool, RendezvousScores scores) {
        String best = "";
        long bestScore = 0;
        for (UpstreamRecord engine : directory.ready(pool)) {
            long score = scores.of(engine);
            if (best.isEmpty() || score > bestScore) {
                best = engine.id();
                bestScore = score;
            }
        }
        return best;
    }

    private boolean isCached(UpstreamRecord engine, EnginePrompt prompt, String home, long now) {
        return engine.id().equals(home) || cachedParts.contains(engine, prompt.shared(), now);
    }
}
