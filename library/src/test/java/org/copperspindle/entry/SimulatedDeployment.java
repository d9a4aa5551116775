package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.copperspindle.agent.SimulatedAgent;
import org.copperspindle.claims.ClaimLimits;
import org.copperspindle.config.DirectDeploymentReader;
import org.copperspindle.config.PoolKind;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.VirtualTimerService;

/**
 * Entries, agents, upstreams and claims of one deployment in virtual time. Only the network, the upstreams and the
 * crashes are simulated; all decisions are made by the production code.
 */
final class SimulatedDeployment {

    static final Duration DEADLINE = Duration.ofSeconds(6);
    private static final String SETTINGS = """
            [deployment]
            name = simulated
            failure-domains = north
            [pool retrievers]
            kind = retriever
            size = 2
            [pool engines]
            kind = engine
            size = 2
            models = llm
            [pool gallery]
            kind = service
            size = 2
            [pipeline describe]
            stages = retrieve, generate
            deadline = 6s
            [stage describe/retrieve]
            pool = retrievers
            [stage describe/generate]
            pool = engines
            model = llm
            [service install]
            pool = gallery
            repeatable = false
            [service print]
            pool = gallery
            repeatable = false
            [service lookup]
            pool = gallery
            [account gallery]
            key-sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
            rate-per-second = 1000000
            pipelines = describe, install, lookup
            """;
    static final DeploymentView VIEW = new DeploymentView(new DirectDeploymentReader(), () -> {});

    static {
        VIEW.update(new ControlUpdateMessage(1, 1, SETTINGS, true, 0, List.of(), List.of()));
    }

    private static final long MAX_DELAY_NANOS = 4_000_000;
    private static final long MAX_RESTART_NANOS = Duration.ofMillis(400).toNanos();

    private final VirtualTimerService timers = new VirtualTimerService();
    private final SplittableRandom random;
    private final ExecutionRecorder executions = new ExecutionRecorder();
    private final SimulatedControl control;
    private final Map<InetSocketAddress, SimulatedUpstream> upstreams = new LinkedHashMap<>();
    private final Map<InetSocketAddress, SimulatedAgent> agents = new LinkedHashMap<>();
    private final Map<InetSocketAddress, String> pools = new LinkedHashMap<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<SimulatedCaller> callers = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final boolean forgetful;
    private SimulatedFaults faults = SimulatedFaults.NONE;
    private long revision;
    private int arrivals;

    SimulatedDeployment(long seed, int entryCount) {
        this(seed, entryCount, ClaimLimits.DEFAULT);
    }

    SimulatedDeployment(long seed, int entryCount, ClaimLimits limits) {
        random = new SplittableRandom(seed);
        forgetful = seed % 2 == 1;
        control = new SimulatedControl(this, limits);
        int port = 1;
        for (PoolKind kind : List.of(PoolKind.RETRIEVER, PoolKind.ENGINE, PoolKind.SERVICE)) {
            for (int i = 0; i < 2; i++) {
                InetSocketAddress address = new InetSocketAddress("10.0.0.1", port++);
                SimulatedUpstream upstream = new SimulatedUpstream(this, kind);
                upstreams.put(address, upstream);
                pools.put(address, poolOf(kind));
                agents.put(address, newAgent(address, 1));
            }
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(new SimulatedEntry(this, VIEW));
        }
        update();
    }

    VirtualTimerService timers() {
        return timers;
    }

    SplittableRandom random() {
        return random;
    }

    ExecutionRecorder executions() {
        return executions;
    }

    SimulatedControl control() {
        return control;
    }

    SimulatedFaults faults() {
        return faults;
    }

    void faults(SimulatedFaults next) {
        faults = next;
    }

    List<SimulatedCaller> callers() {
        return callers;
    }

    List<SimulatedEntry> entries() {
        return entries;
    }

    SimulatedAgent agent(InetSocketAddress address) {
        return agents.get(address);
    }

    /** Returns the injected faults by kind. */
    Map<String, Integer> counts() {
        return counts;
    }

    void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    boolean occurs(double chance) {
        return SimulatedFaults.occurs(random, chance);
    }

    long delay() {
        return 1 + random.nextLong(MAX_DELAY_NANOS);
    }

    void later(Runnable task) {
        timers.schedule(delay(), task);
    }

    /** Runs events one by one until the condition holds. */
    void until(String what, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (!timers.step()) {
                throw new AssertionError("condition never became true: " + what);
            }
        }
    }

    void advance(Duration time) {
        timers.advance(time.toNanos());
    }

    /** Sends a request to an entry. */
    SimulatedCaller call(int entry, String pipeline, String key, String token) {
        boolean streaming = pipeline.equals("describe") && random.nextBoolean();
        return call(entry, pipeline, key, token, streaming);
    }

    SimulatedCaller call(int entry, String pipeline, String key, String token, boolean streaming) {
        long deadline = timers.nanoTime() + DEADLINE.toNanos();
        String requestId = "r" + arrivals++;
        // Without a key from the caller, the entry generates a unique one.
        String ownKey = key.isEmpty() ? requestId : key;
        SimulatedCaller caller = new SimulatedCaller(this, requestId, pipeline, ownKey, token, deadline);
        callers.add(caller);
        entries.get(entry).arrive(caller, streaming, body(token));
        maybeCrash(entries.get(entry));
        return caller;
    }

    static byte[] body(String token) {
        return ("{\"input\":\"face-" + token + "|\",\"token\":\"" + token + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns pipeline and first stage as named in claims. */
    String stageOf(String pipeline) {
        String stage =
                VIEW.deployment().pipelines().get(pipeline).stages().get(0).name();
        return pipeline + "/" + stage;
    }

    void maybeCrash(SimulatedEntry entry) {
        if (!entry.dead() && occurs(faults.entryCrash())) {
            crash(entry);
        }
    }

    void maybeCrash(SimulatedAgent agent) {
        if (!agent.dead() && occurs(faults.agentCrash())) {
            crash(agent);
        }
    }

    /** Crashes an entry. A new incarnation replaces it at once, with none of its state. */
    void crash(SimulatedEntry entry) {
        count("entries crashed");
        entry.die();
        int index = entries.indexOf(entry);
        SimulatedEntry next = new SimulatedEntry(this, VIEW);
        entries.set(index, next);
        next.update(membership());
    }

    /** Crashes an agent. A new incarnation with an empty table starts after a while. */
    void crash(SimulatedAgent agent) {
        count("agents crashed");
        agent.die();
        InetSocketAddress address = agents.entrySet().stream()
                .filter(e -> e.getValue() == agent)
                .findFirst()
                .orElseThrow()
                .getKey();
        entries.forEach(entry -> entry.cutTo(address));
        timers.schedule(random.nextLong(MAX_RESTART_NANOS), () -> {
            agents.put(address, newAgent(address, agent.incarnation() + 1));
            later(this::update);
        });
    }

    private SimulatedAgent newAgent(InetSocketAddress address, long incarnation) {
        String id = idOf(address);
        return new SimulatedAgent(timers, upstreams.get(address), id, incarnation, forgetful);
    }

    private String idOf(InetSocketAddress address) {
        return pools.get(address) + address.getPort();
    }

    /** Sends the current membership to every entry. */
    void update() {
        revision++;
        ControlUpdateMessage update = membership();
        entries.forEach(entry -> entry.update(update));
    }

    /** Removes an upstream for good and notifies every entry. */
    void remove(InetSocketAddress address) {
        pools.remove(address);
        update();
    }

    InetSocketAddress address(String pool, int index) {
        return pools.entrySet().stream()
                .filter(e -> e.getValue().equals(pool))
                .skip(index)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private ControlUpdateMessage membership() {
        List<byte[]> announcements = new ArrayList<>();
        pools.forEach((address, pool) -> announcements.add(UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                idOf(address),
                pool,
                "north",
                address,
                agents.get(address).incarnation(),
                1,
                pool.equals("engines") ? List.of("llm") : List.of(),
                false))));
        return new ControlUpdateMessage(1, 1, SETTINGS, true, revision, announcements, List.of());
    }

    private static String poolOf(PoolKind kind) {
        return switch (kind) {
            case RETRIEVER -> "retrievers";
            case ENGINE -> "engines";
            default -> "gallery";
        };
    }
}
