package org.copperspindle.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.backpressure.LimitGossip;
import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.DispatcherStatus;
import org.copperspindle.batch.FetchTimeEstimator;
import org.copperspindle.coldstart.ColdAdmission;
import org.copperspindle.coldstart.SenderSetAdmission;
import org.copperspindle.direct.DirectClient;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.mesh.IsolationDetector;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.route.CallerLimits;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.time.LoopTimerService;
import org.copperspindle.time.SuspensionWatch;
import org.copperspindle.time.TimerService;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VoterDiscovery;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.WireTransport;

/**
 * One running node that stands directly before upstreams. Requests, upstreams and the connections between nodes live on
 * one network thread; a node with a disk has a member of the control group besides, on a decision ring of its own, so
 * that a slow disk never holds a request up.
 */
public final class GatewayNode {

    private static final Logger LOGGER = LogManager.getLogger(GatewayNode.class);

    /** Part of the time in which a key must be dead everywhere; the rest covers clocks and requests under way. */
    private static final double LEASE_SHARE = 0.76;

    /** Time for other nodes to tell what they know before a node that found some calls itself ready. */
    private static final Duration VIEW_TIME = Duration.ofMillis(300);

    /** A node that finds no others is ready after this: it may be the only one. */
    private static final Duration LONELY_TIME = Duration.ofSeconds(2);

    /**
     * Cores of a VM that packs the calls of a pool without delay. On a smaller one, which has a slower link as well, requests
     * are late though the pool keeps up.
     */
    private static final double PACKING_CORES = 0.5;

    private static final Duration TICK = Duration.ofMillis(100);
    private static final int SERVED_LINES = 300;
    private static final int FAILED_LINES = 200;
    private static final int MAX_CONNECTIONS = 2500;
    private static final int CONTROL_BODY = 8 << 20;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final GatewaySettings settings;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("network", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final TimerService timers = new LoopTimerService(loop);
    private final WireTransport transport;
    private final GreetingMessage greeting;
    private final MessageRegistry registry;
    private final NodeMesh mesh;
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final IsolationDetector cutOff;
    private final DirectoryGossip gossip;
    private final VersionExchange exchange;
    private final VersionHolder holder;
    private final BatchService batches;
    private final OpenRequests open = new OpenRequests();
    private final GatewayService service;
    private final GatewayCounters counters = new GatewayCounters();
    private final SharedRetryBudget budget;
    private final UpstreamTracker tracker = new UpstreamTracker();
    private final HttpListener callers;
    private final HttpListener readiness;
    private final HttpListener control;
    private final Optional<HttpListener> metrics;
    private final UpstreamLimits upstreamLimits;
    private final UpstreamBackoffs upstreamRests;
    private final SendPermits permits;
    private final RequestQuarantine quarantine;
    private final long startedAt = System.nanoTime();
    private Optional<GroupMember> member = Optional.empty();
    private boolean ready;
    private boolean stopping;

    private GatewayNode(GatewaySettings settings, GatewayDialects dialects) throws IOException {
        this.settings = settings;
        this.registry = GatewayMessages.registry();
        long incarnation = System.currentTimeMillis();
        this.greeting = new GreetingMessage(
                GreetingMessage.PROTOCOL, "gateway", NumericAddress.format(settings.mesh()), incarnation);
        this.transport = new WireTransport(group, registry, greeting, MeshSettings.LIMITS);
        MeshSettings meshSettings = new MeshSettings(
                settings.mesh(),
                settings.meshBind().orElse(settings.mesh()),
                NumericAddress.format(settings.control()),
                settings.failureDomain(),
                settings.dataFolder().isPresent(),
                settings.seeds());
        this.mesh = new NodeMesh(meshSettings, transport, timers, this::hello);
        this.cutOff = new IsolationDetector(mesh::count, timers);
        this.gossip = new DirectoryGossip(mesh, timers, directory);
        this.exchange = new VersionExchange(mesh, timers, loop);
        Duration lease = Duration.ofNanos((long) (settings.revocation().toNanos() * LEASE_SHARE));
        this.holder =
                new VersionHolder(timers, dialects.tableReader(), lease, new SuspensionWatch(), exchange::requestLease);
        exchange.holder(holder);
        DecisionLog log = new DecisionLog(SERVED_LINES, FAILED_LINES);
        DirectClient client = new DirectClient(
                loop, timers, new SharedIdleConnections(directory, holder::heldTable, () -> 1 + mesh.count()));
        this.quarantine = new RequestQuarantine(mesh, timers, directory, client, log);
        this.upstreamLimits = new UpstreamLimits(directory, log);
        this.upstreamRests = new UpstreamBackoffs(directory, log);
        UpstreamPort port = new SignalReadingPort(
                client, dialects.upstreamDialect(), upstreamLimits, upstreamRests, gossip, timers);
        MeshRelay relay = new MeshRelay(mesh, registry);
        this.batches = new BatchService(
                relay,
                timers,
                directory,
                dialects.stagePort(port, timers),
                pool -> holder.heldTable().flatMap(t -> t.findPool(pool)).flatMap(UpstreamPool::batchLimits),
                new Packer(),
                log);
        relay.listener(batches);
        mesh.subscribe(relay);
        LimitOwners keepers = new LimitOwners(mesh, this::serves, cutOff, directory, batches, holder::heldTable);
        this.permits = new SendPermits(upstreamLimits, keepers, new MeshLink(mesh), timers);
        batches.limitCallsWith(new RestrainedCalls(permits, upstreamRests, timers));
        this.budget = new SharedRetryBudget(
                settings.retries().ratio(),
                settings.retries().slack(),
                settings.retries().window());
        FirstEventLatencies firstEvents = new FirstEventLatencies();
        ColdAdmission cold = new SenderSetAdmission(mesh.self(), mesh::serving, cutOff::isIsolated);
        StageAdmission gate = new StageAdmission(batches::load, firstEvents);
        GatewayContext context = new GatewayContext(
                timers,
                dialects.callerDialect(),
                dialects.upstreamDialect(),
                port,
                batches,
                gossip,
                tracker,
                new UpstreamChooser(
                        directory,
                        tracker,
                        cold,
                        permits,
                        upstreamRests,
                        ThreadLocalRandom.current(),
                        settings.failureDomain()),
                cold,
                permits,
                budget,
                gate,
                new FetchTimeEstimator(),
                firstEvents,
                new StreamDurations(),
                cutOff,
                open,
                counters,
                log,
                ThreadLocalRandom.current(),
                new RetryAfterDelays(ThreadLocalRandom.current()),
                quarantine);
        subscribe();
        settings.dataFolder().ifPresent(folder -> keepMember(folder.resolve(GroupMember.NAME)));
        this.service = new GatewayService(
                context, holder::inForce, new StartupLeaseStatus(holder, mesh, () -> stopping, this::uptime));
        IgnoredAnnouncements ignored = new IgnoredAnnouncements(timers, log);
        GroupQuestions questions = new GroupQuestions(exchange, loop);
        KnownDomains domains = new KnownDomains(settings, mesh, directory);
        ControlRequestHandler desk = new ControlRequestHandler(
                gossip,
                questions,
                dialects.tableReader(),
                holder::heldTable,
                ignored,
                quarantine,
                new EvacuationRequestHandler(questions, holder::evacuations, domains));
        this.callers = new HttpListener(group, settings.callers(), this::callerLimits, service);
        this.readiness = new HttpListener(group, settings.readiness(), () -> HttpLimits.DEFAULT, this::answerReadiness);
        this.control = new HttpListener(
                group,
                settings.control(),
                () -> HttpLimits.DEFAULT.withMaxBody(CONTROL_BODY),
                dialects.controlEndpoint(desk));
        NodeState state = new NodeState(
                this::serves,
                mesh,
                client,
                exchange,
                holder,
                directory,
                upstreamLimits,
                permits,
                upstreamRests,
                batches,
                gate,
                budget,
                counters,
                quarantine,
                ignored);
        this.metrics = settings.metrics().flatMap(address -> openMetrics(address, state));
    }

    /**
     * Starts a node.
     *
     * @param settings its settings
     * @param dialects what its callers, upstreams and operators speak
     * @return the running node
     * @throws IOException if its disk fails or an address is taken
     */
    public static GatewayNode start(GatewaySettings settings, GatewayDialects dialects) throws IOException {
        GatewayNode node = new GatewayNode(settings, dialects);
        node.mesh.start();
        node.loop.execute(() -> {
            node.holder.start();
            node.batches.start();
            node.tick();
        });
        LOGGER.info(
                "event=started process={} callers={} control={} mesh={} disk={} first_start={} seeds={}",
                settings.name(),
                settings.callers(),
                settings.control(),
                settings.mesh(),
                settings.dataFolder().isPresent(),
                settings.firstStart(),
                settings.seeds());
        return node;
    }

    /**
     * Takes other seeds, after a change of settings.
     *
     * @param seeds mesh addresses
     */
    public void reseed(List<InetSocketAddress> seeds) {
        LOGGER.info("event=reloaded seeds={}", seeds);
        loop.execute(() -> mesh.reseed(seeds));
    }

    /**
     * Stops gracefully: new callers go elsewhere, requests in progress are finished. Returns when that is done or the
     * grace is nearly over.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void stop() throws InterruptedException {
        CountDownLatch idle = new CountDownLatch(1);
        loop.execute(() -> beginStop(idle::countDown));
        idle.await();
        LOGGER.info("event=stopped process={} open={}", settings.name(), counters.open());
    }

    /** Ends at once, as a crash would; for tests. */
    public void kill() {
        member.ifPresent(GroupMember::close);
        for (HttpListener listener : List.of(callers, readiness, control)) {
            listener.close();
        }
        metrics.ifPresent(HttpListener::close);
        transport.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private Optional<HttpListener> openMetrics(InetSocketAddress address, NodeState state) {
        try {
            HttpRequestHandler handler = new GatewayMetrics(state);
            return Optional.of(new HttpListener(group, address, () -> HttpLimits.DEFAULT, handler));
        } catch (RuntimeException e) {
            // A node that can't be measured still serves.
            LOGGER.warn("event=metrics-not-served address={} reason=\"{}\"", address, e.toString());
            return Optional.empty();
        }
    }

    private void subscribe() {
        mesh.subscribe(cutOff);
        mesh.subscribe(gossip);
        // After the upstreams: a node that has just come knows nothing of a limit whose upstream it does not know.
        mesh.subscribe(new LimitGossip(mesh, timers, upstreamLimits, permits));
        mesh.subscribe(exchange);
        mesh.subscribe(batches);
        mesh.subscribe(quarantine);
        mesh.subscribe(new MeshListener() {
            @Override
            public void onNodeUp(MeshNode node) {
                budget.nodes(mesh.count() + 1);
            }

            @Override
            public void onNodeDown(MeshNode node) {
                budget.nodes(mesh.count() + 1);
            }
        });
        directory.subscribe(this::upstreamChanged);
        holder.subscribe(table -> directory.setColdTimes(table.coldNanosByPool()));
        holder.subscribeEvacuations(news -> directory.evacuate(Set.copyOf(news.failureDomains()), timers.nanoTime()));
    }

    private void upstreamChanged(UpstreamRecord news) {
        if (news.phase() == UpstreamPhase.GONE) {
            tracker.forget(news.id());
        } else {
            tracker.updateIncarnation(news.id(), news.incarnation());
        }
    }

    private void keepMember(Path folder) {
        VoterDiscovery roster = new VoterDiscovery(mesh, timers, settings.firstStart(), settings.toleratedLosses());
        mesh.subscribe(roster);
        Supplier<WireTransport> transports = () -> new WireTransport(group, registry, greeting, MeshSettings.LIMITS);
        member = Optional.of(new GroupMember(settings, folder, roster, exchange, transports, loop));
    }

    private NodeHelloMessage hello() {
        return new NodeHelloMessage(
                NumericAddress.format(settings.control()),
                settings.failureDomain(),
                settings.dataFolder().isPresent(),
                serves(),
                member.map(GroupMember::isGrouped).orElse(false),
                exchange.status().term(),
                exchange.status().leader(),
                holder.version(),
                fitness());
    }

    /**
     * Says how fit this node is to pack calls. Members of the control group come after others of their size: while they are
     * cut off from each other, and all others still reach them, two of them would pack the calls of one pool, and half of
     * these calls would find their upstream full.
     */
    private int fitness() {
        if (settings.cores() < PACKING_CORES) {
            return 0;
        }
        return settings.dataFolder().isPresent() ? 1 : 2;
    }

    private void tick() {
        boolean before = ready;
        ready = isReady();
        if (before != ready) {
            LOGGER.info(
                    "event=readiness ready={} version={} nodes={} uptime_ms={}",
                    ready,
                    holder.version(),
                    mesh.count(),
                    uptime().toMillis());
            mesh.announce();
        }
        permits.removeStale();
        upstreamRests.removeStale();
        timers.schedule(TICK.toNanos(), this::tick);
    }

    private boolean isReady() {
        if (stopping || holder.inForce().isEmpty()) {
            return false;
        }
        Duration needed = mesh.nodes().isEmpty() ? LONELY_TIME : VIEW_TIME;
        return ready || uptime().compareTo(needed) > 0;
    }

    private Duration uptime() {
        return Duration.ofNanos(System.nanoTime() - startedAt);
    }

    private boolean serves() {
        return ready && !stopping;
    }

    private void answerReadiness(HttpExchange question) {
        boolean serves = serves();
        byte[] body = ("{\"ready\":" + serves + "}").getBytes(StandardCharsets.UTF_8);
        question.respond(serves ? OK : UNAVAILABLE, "application/json", Map.of(), body);
    }

    private HttpLimits callerLimits() {
        CallerLimits limits = holder.heldTable().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
        HttpLimits base = HttpLimits.DEFAULT;
        return new HttpLimits(
                limits.maxHeaderBytes(),
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                MAX_CONNECTIONS,
                limits.headerTimeout(),
                limits.idleTimeout(),
                base.writeTimeout(),
                base.maxPendingBytes());
    }

    private void beginStop(Runnable done) {
        LOGGER.info("event=stopping process={} open={}", settings.name(), counters.open());
        stopping = true;
        ready = false;
        mesh.announce();
        callers.announceStop();
        new GracefulStop(timers, service, open, callers, batches).begin(settings.stopGrace(), done);
    }

    /** This node's part in packing calls. */
    private final class Packer implements DispatcherStatus {
        @Override
        public boolean isServing() {
            return serves();
        }

        @Override
        public int fitness() {
            return GatewayNode.this.fitness();
        }
    }
}
