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
import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.FleetStageStarts;
import org.copperspindle.admission.RetryAfterDelays;
import org.copperspindle.admission.StageAdmission;
import org.copperspindle.backpressure.LimitGossip;
import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.backpressure.UpstreamLoads;
import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.FetchTimeEstimator;
import org.copperspindle.batch.UpstreamPace;
import org.copperspindle.coldstart.ColdAdmission;
import org.copperspindle.coldstart.SenderSetAdmission;
import org.copperspindle.direct.DirectClient;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.memory.HeldMemories;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.mesh.IsolationDetector;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.origin.SharedStreamOrigins;
import org.copperspindle.overload.NodeOverload;
import org.copperspindle.overload.ShedConnections;
import org.copperspindle.placement.EnginePlacements;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.standby.StandbyDispatchers;
import org.copperspindle.time.EventLoopTimerService;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.TimerService;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VoterDiscovery;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.WireTransport;

/**
 * A running node directly in front of upstreams. Requests, upstreams and the connections between nodes are handled on
 * one network thread. A node with a disk also has a member of the control group, on a decision ring of its own, so
 * that a slow disk never delays a request.
 */
public final class GatewayNode {

    private static final Logger LOGGER = LogManager.getLogger(GatewayNode.class);

    /**
     * Lease duration as a share of the time in which a revoked key must be invalid everywhere; the rest covers clock
     * differences and requests in progress.
     */
    private static final double LEASE_SHARE = 0.76;

    /** Time for other nodes to send what they know before a node that has found some becomes ready. */
    private static final Duration NODE_EXCHANGE_TIME = Duration.ofMillis(300);

    /** Delay after which a node that finds no others becomes ready: it may be the only one. */
    private static final Duration SINGLE_NODE_DELAY = Duration.ofSeconds(2);

    /** Time for other nodes to contradict a quarantine before the requests that wait at upstreams are taken back. */
    private static final long CONTRADICTION_NANOS = Duration.ofMillis(20).toNanos();

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_SERVED_LINES_PER_SECOND = 300;
    private static final int MAX_FAILED_LINES_PER_SECOND = 200;

    /** Log lines per second about load statements that are ignored: a few show which upstream sends what. */
    private static final int MAX_SIGNAL_LINES_PER_SECOND = 2;

    private static final int MAX_CONTROL_BODY_BYTES = 8 << 20;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final GatewaySettings settings;
    private final DispatcherFitness dispatcherFitness;
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("network", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) eventLoops.next();
    private final TimerService timers = new EventLoopTimerService(loop);
    private final WireTransport transport;
    private final GreetingMessage greeting;
    private final MessageRegistry registry;
    private final NodeMesh mesh;
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final IsolationDetector isolation;
    private final DirectoryGossip gossip;
    private final VersionExchange versionExchange;
    private final VersionHolder versionHolder;
    private final BatchService batches;
    private final StandbyDispatchers standby;
    private final FleetStageStarts stageStarts;
    private final EngineLoads engineLoads;
    private final OpenRequests openRequests = new OpenRequests();
    private final GatewayService service;
    private final GatewayCounters counters = new GatewayCounters();
    private final SharedRetryBudget retryBudget;
    private final UpstreamTracker tracker = new UpstreamTracker();
    private final HttpListener callerListener;
    private final HttpListener readinessListener;
    private final HttpListener controlListener;
    private final Optional<HttpListener> metricsListener;
    private final UpstreamLimits upstreamLimits;
    private final UpstreamBackoffs upstreamBackoffs;
    private final UpstreamLoads upstreamLoads;
    private final SendPermits permits;
    private final RequestQuarantine quarantine;
    private final NodeOverload overload;
    private final HeldMemory memory;
    private final SharedStreamOrigins origins;
    private final PausedUpstreams paused = new PausedUpstreams();
    private final long startedAt = System.nanoTime();
    private Optional<ControlGroupMember> member = Optional.empty();
    private boolean ready;
    private boolean stopping;

    private GatewayNode(GatewaySettings settings, GatewayDialects dialects) throws IOException {
        this.settings = settings;
        this.dispatcherFitness = new DispatcherFitness(settings, this::serves);
        this.registry = GatewayMessages.registry();
        long incarnation = System.currentTimeMillis();
        this.greeting = new GreetingMessage(
                GreetingMessage.PROTOCOL, "gateway", NumericAddress.format(settings.mesh()), incarnation);
        this.transport = new WireTransport(eventLoops, registry, greeting, MeshSettings.LIMITS);
        this.mesh = new NodeMesh(settings.meshSettings(), transport, timers, this::hello);
        this.isolation = new IsolationDetector(mesh::count, timers);
        this.gossip = new DirectoryGossip(mesh, timers, directory);
        this.versionExchange = new VersionExchange(mesh, timers, loop);
        Duration lease = Duration.ofNanos((long) (settings.revocation().toNanos() * LEASE_SHARE));
        this.versionHolder = new VersionHolder(
                timers, dialects.tableReader(), lease, new SuspensionDetector(), versionExchange::requestLease);
        versionExchange.holder(versionHolder);
        LogRateLimiter decisionLog = new LogRateLimiter(MAX_SERVED_LINES_PER_SECOND, MAX_FAILED_LINES_PER_SECOND);
        this.memory = HeldMemories.create(
                HeldMemories.budgetBytes(
                        settings.memoryBytes(), Runtime.getRuntime().maxMemory()),
                timers::nanoTime,
                decisionLog);
        this.origins = OriginsFactory.create(settings, mesh, timers, loop, directory, versionHolder);
        SharedIdleConnectionLimit idleLimit =
                new SharedIdleConnectionLimit(directory, versionHolder::heldTable, () -> 1 + mesh.count());
        DirectClient client = new DirectClient(loop, timers, idleLimit, memory, this::isLate);
        this.quarantine = new RequestQuarantine(mesh, timers, directory, client, decisionLog);
        this.overload = new NodeOverload(mesh, TICK_INTERVAL.toNanos());
        this.upstreamLimits = new UpstreamLimits(directory, decisionLog);
        this.upstreamBackoffs = new UpstreamBackoffs(directory, decisionLog);
        this.upstreamLoads = new UpstreamLoads(directory, new LogRateLimiter(0, MAX_SIGNAL_LINES_PER_SECOND));
        UpstreamPort checked = new CallerIdPort(client, openRequests.callerRequests(), counters);
        UpstreamPort port = new SignalReadingPort(
                checked, dialects.upstreamDialect(), upstreamLimits, upstreamBackoffs, upstreamLoads, gossip, timers);
        MeshRelay relay = new MeshRelay(mesh, registry);
        this.batches = new BatchService(
                relay,
                timers,
                directory,
                dialects.stagePort(port, timers, gossip),
                pool -> versionHolder.heldTable().flatMap(t -> t.findPool(pool)).flatMap(UpstreamPool::batchLimits),
                dispatcherFitness,
                decisionLog);
        relay.subscribe(batches);
        mesh.subscribe(relay);
        this.engineLoads =
                new EngineLoads(mesh, timers, directory, batches::dispatcherNode, this::hasEngines, decisionLog);
        LimitOwners limitOwners =
                new LimitOwners(mesh, this::serves, isolation, directory, batches, versionHolder::heldTable);
        this.permits = new SendPermits(upstreamLimits, limitOwners, new MeshPermitLink(mesh), timers);
        batches.limitCallsWith(new BackpressureCallAdmission(permits, upstreamBackoffs, timers));
        batches.scaleDurationsBy((upstream, now) ->
                upstreamLoads.pace(upstream.id(), upstream.incarnation(), now).orElse(UpstreamPace.USUAL));
        this.retryBudget = createRetryBudget();
        FirstEventLatencies firstEventLatencies = new FirstEventLatencies();
        this.standby = StandbyFactory.create(relay, timers, batches, versionHolder::heldTable, isolation, decisionLog);
        this.stageStarts = StageStartsFactory.create(
                relay, timers, batches, versionHolder::heldTable, firstEventLatencies, decisionLog);
        ColdAdmission coldAdmission = new SenderSetAdmission(mesh.self(), mesh::serving, isolation::isIsolated);
        UpstreamChooser chooser = createChooser(coldAdmission);
        StageAdmission stageAdmission = new StageAdmission(batches::load, firstEventLatencies);
        GatewayContext context = new GatewayContext(
                timers,
                dialects.callerDialect(),
                dialects.upstreamDialect(),
                port,
                batches,
                gossip,
                tracker,
                chooser,
                engineLoads,
                coldAdmission,
                permits,
                retryBudget,
                stageAdmission,
                stageStarts,
                new FetchTimeEstimator(),
                firstEventLatencies,
                new StreamDurations(),
                isolation,
                openRequests,
                counters,
                decisionLog,
                ThreadLocalRandom.current(),
                new RetryAfterDelays(ThreadLocalRandom.current()),
                quarantine,
                new StreamResumptions(counters),
                memory,
                paused,
                origins,
                versionHolder::heldTable);
        subscribe();
        settings.dataFolder().ifPresent(folder -> openMember(folder.resolve(ControlGroupMember.NAME)));
        this.service = new GatewayService(
                context,
                versionHolder::inForce,
                new StartupLeaseStatus(versionHolder, mesh, () -> stopping, this::uptime));
        IgnoredAnnouncements ignoredAnnouncements = new IgnoredAnnouncements(timers, decisionLog);
        ControlGroupClient controlGroup = new ControlGroupClient(
                versionExchange, versionHolder, loop, new SubmissionLog(timers, versionExchange, counters));
        KnownFailureDomains knownDomains = new KnownFailureDomains(settings, mesh, directory);
        ControlRequestHandler controlHandler = new ControlRequestHandler(
                gossip,
                controlGroup,
                dialects.tableReader(),
                versionHolder::heldTable,
                ignoredAnnouncements,
                quarantine,
                new EvacuationRequestHandler(controlGroup, versionHolder::evacuations, knownDomains));
        this.callerListener = new HttpListener(
                eventLoops,
                settings.callers(),
                new CallerHttpLimits(versionHolder::heldTable, memory.budgetBytes()),
                service,
                memory,
                new ShedConnections(settings.descriptors(), overload::tryAdmit),
                this::isLate);
        this.readinessListener =
                new HttpListener(eventLoops, settings.readiness(), () -> HttpLimits.DEFAULT, this::answerReadiness);
        this.controlListener = new HttpListener(
                eventLoops,
                settings.control(),
                () -> HttpLimits.DEFAULT.withMaxBody(MAX_CONTROL_BODY_BYTES),
                dialects.controlEndpoint(controlHandler));
        NodeState state = new NodeState(
                this::serves,
                mesh,
                client,
                versionExchange,
                versionHolder,
                directory,
                upstreamLimits,
                permits,
                upstreamBackoffs,
                upstreamLoads,
                batches,
                engineLoads,
                stageAdmission,
                stageStarts,
                standby,
                retryBudget,
                counters,
                quarantine,
                overload,
                ignoredAnnouncements,
                memory,
                paused,
                origins);
        this.metricsListener = settings.metrics().flatMap(address -> openMetrics(address, state));
    }

    /**
     * Starts a node.
     *
     * @param settings its settings
     * @param dialects formats in which its callers, upstreams and operators communicate
     * @return the running node
     * @throws IOException if its disk fails or an address is in use
     */
    public static GatewayNode start(GatewaySettings settings, GatewayDialects dialects) throws IOException {
        GatewayNode node = new GatewayNode(settings, dialects);
        node.mesh.start();
        node.loop.execute(() -> {
            node.versionHolder.start();
            node.batches.start();
            node.standby.start();
            node.stageStarts.start();
            node.engineLoads.start();
            node.origins.start();
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
     * Replaces the seeds after a change of settings.
     *
     * @param seeds mesh addresses
     */
    public void reseed(List<InetSocketAddress> seeds) {
        LOGGER.info("event=reloaded seeds={}", seeds);
        loop.execute(() -> mesh.reseed(seeds));
    }

    /**
     * Stops gracefully: new callers are sent to other nodes, and requests in progress are finished. Returns when that
     * is done or the grace period is nearly over.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void stop() throws InterruptedException {
        CountDownLatch idle = new CountDownLatch(1);
        loop.execute(() -> beginStop(idle::countDown));
        idle.await();
        LOGGER.info("event=stopped process={} open={}", settings.name(), counters.open());
    }

    /** Stops at once, like a crash; for tests. */
    public void kill() {
        member.ifPresent(ControlGroupMember::close);
        origins.close();
        for (HttpListener listener : List.of(callerListener, readinessListener, controlListener)) {
            listener.close();
        }
        metricsListener.ifPresent(HttpListener::close);
        transport.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private SharedRetryBudget createRetryBudget() {
        return new SharedRetryBudget(
                settings.retries().ratio(),
                settings.retries().slack(),
                settings.retries().window());
    }

    private UpstreamChooser createChooser(ColdAdmission coldAdmission) {
        UpstreamChooser chooser = new UpstreamChooser(
                directory,
                tracker,
                coldAdmission,
                permits,
                upstreamBackoffs,
                ThreadLocalRandom.current(),
                settings.failureDomain());
        chooser.chooseEnginesWith(new EstimatedEngineChoice(engineLoads, new AffinityEngineChoice(tracker)));
        chooser.skipTerminated(quarantine::hasTerminated);
        chooser.placeWith(new EnginePlacer(engineLoads, EnginePlacements.undisturbed()));
        return chooser;
    }

    private Optional<HttpListener> openMetrics(InetSocketAddress address, NodeState state) {
        try {
            HttpRequestHandler handler = new GatewayMetrics(state);
            return Optional.of(new HttpListener(eventLoops, address, () -> HttpLimits.DEFAULT, handler));
        } catch (RuntimeException e) {
            // A node whose metrics cannot be read still serves.
            LOGGER.warn("event=metrics-not-served address={} reason=\"{}\"", address, e.toString());
            return Optional.empty();
        }
    }

    private void subscribe() {
        mesh.subscribe(isolation);
        mesh.subscribe(gossip);
        // After the upstream gossip: a node that has just joined cannot apply the limit of an upstream that it does not
        // know.
        mesh.subscribe(new LimitGossip(mesh, timers, upstreamLimits, permits));
        mesh.subscribe(versionExchange);
        // Before the batch service, which must know of a takeover or of a stall when it handles the same message.
        mesh.subscribe(standby);
        mesh.subscribe(batches);
        mesh.subscribe(stageStarts);
        mesh.subscribe(engineLoads);
        mesh.subscribe(overload);
        mesh.subscribe(quarantine);
        quarantine.subscribe(() -> timers.schedule(CONTRADICTION_NANOS, openRequests::endQuarantined));
        mesh.subscribe(new RetryBudgetScaling(retryBudget, mesh::count));
        directory.subscribe(tracker::onUpstreamChange);
        versionHolder.subscribe(table -> directory.setColdTimes(table.coldNanosByPool()));
        versionHolder.subscribeEvacuations(
                update -> directory.evacuate(Set.copyOf(update.failureDomains()), timers.nanoTime()));
    }

    private void openMember(Path folder) {
        VoterDiscovery voterDiscovery =
                new VoterDiscovery(mesh, timers, settings.firstStart(), settings.toleratedLosses());
        mesh.subscribe(voterDiscovery);
        Supplier<WireTransport> transports =
                () -> new WireTransport(eventLoops, registry, greeting, MeshSettings.LIMITS);
        member = Optional.of(
                new ControlGroupMember(settings, folder, voterDiscovery, versionExchange, transports, loop));
        loop.execute(
                OriginsFactory.createProposer(settings, versionExchange, versionHolder, mesh, directory, timers)
                        ::start);
    }

    private NodeHelloMessage hello() {
        return new NodeHelloMessage(
                NumericAddress.format(settings.control()),
                settings.failureDomain(),
                settings.dataFolder().isPresent(),
                serves(),
                member.map(ControlGroupMember::hasSeenGroup).orElse(false),
                versionExchange.status().term(),
                versionExchange.status().leader(),
                versionHolder.version(),
                dispatcherFitness.fitness());
    }

    private void tick() {
        overload.tick(timers.nanoTime());
        boolean before = ready;
        ready = isReady();
        if (before != ready) {
            LOGGER.info(
                    "event=readiness ready={} version={} nodes={} uptime_ms={}",
                    ready,
                    versionHolder.version(),
                    mesh.count(),
                    uptime().toMillis());
            mesh.announce();
        }
        permits.removeStale();
        upstreamBackoffs.removeStale();
        upstreamLoads.removeStale();
        timers.schedule(TICK_INTERVAL.toNanos(), this::tick);
    }

    private boolean isReady() {
        if (stopping || versionHolder.inForce().isEmpty()) {
            return false;
        }
        Duration needed = mesh.nodes().isEmpty() ? SINGLE_NODE_DELAY : NODE_EXCHANGE_TIME;
        return ready || uptime().compareTo(needed) > 0;
    }

    private boolean hasEngines(String pool) {
        return versionHolder.heldTable().filter(table -> table.hasEngines(pool)).isPresent();
    }

    private Duration uptime() {
        return Duration.ofNanos(System.nanoTime() - startedAt);
    }

    private boolean isLate() {
        return overload.isLate(timers.nanoTime());
    }

    private boolean serves() {
        return ready && !stopping;
    }

    private void answerReadiness(HttpExchange probe) {
        boolean serves = serves();
        byte[] body = ("{\"ready\":" + serves + "}").getBytes(StandardCharsets.UTF_8);
        probe.respond(serves ? OK : UNAVAILABLE, "application/json", Map.of(), body);
    }

    private void beginStop(Runnable done) {
        LOGGER.info("event=stopping process={} open={}", settings.name(), counters.open());
        stopping = true;
        ready = false;
        mesh.announce();
        callerListener.announceStop();
        new GracefulStop(timers, service, openRequests, callerListener, batches)
                .begin(settings.stopGrace(), () -> origins.flush(done));
    }
}
