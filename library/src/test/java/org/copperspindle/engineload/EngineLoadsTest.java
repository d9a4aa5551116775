package org.copperspindle.engineload;

import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EngineLoadsTest {

    private static final long MILLI = 1_000_000L;
    private static final String SELF = "127.0.0.1:1";
    private static final String OTHER = "127.0.0.1:2";
    private static final EnginePrompt PROMPT = new EnginePrompt("part", 0, 8000);

    private final MessageRegistry registry = WireTransport.registry()
            .register(NodeHelloMessage.CODEC)
            .register(EngineSamplesMessage.CODEC)
            .register(EngineLoadsMessage.CODEC);
    private final WireTransport transport =
            new WireTransport(1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1));
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
            transport,
            time,
            EngineLoadsTest::hello);
    private final FakePeer other = new FakePeer(OTHER);
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private String owner = OTHER;
    private final EngineLoads loads =
            new EngineLoads(mesh, time, directory, pool -> owner, "p"::equals, new LogRateLimiter(0, 0));

    @BeforeEach
    void connect() {
        mesh.subscribe(loads);
        mesh.onOpen(other);
        mesh.onMessage(other, hello());
        announce("e0", 1);
        announce("e1", 1);
        loads.start();
    }

    @AfterEach
    void close() {
        transport.close();
    }

    /** The load owner is killed, paused or cut off: an old table must not keep prompts away from engines for long. */
    @Test
    void tableOfASilentOwnerExpires() {
        tellThatEnginesDiffer();
        assertThat(loads.estimates("p", PROMPT)).isPresent();
        time.advance(1100 * MILLI);
        assertThat(loads.estimates("p", PROMPT)).isEmpty();
        assertThat(loads.estimate("p", engine("e0"), PROMPT)).isEmpty();
    }

    /** A pause of the load owner must not count as time in which engines differed. */
    @Test
    void tablesAroundAPauseOfTheOwnerDoNotShowADifference() {
        mesh.onMessage(other, table(500, 40_000, 20));
        time.advance(3000 * MILLI);
        mesh.onMessage(other, table(500, 40_000, 20));
        assertThat(loads.estimates("p", PROMPT)).isEmpty();
    }

    /** Neighbours slow an engine down for less than a second: the choice must not change. */
    @Test
    void shortSlowdownDoesNotChangeTheChoice() {
        for (int pace : new int[] {500, 500, 500, 900, 500, 500, 500, 500}) {
            mesh.onMessage(other, table(pace, 40_000, 20));
            time.advance(200 * MILLI);
        }
        assertThat(loads.estimates("p", PROMPT)).isEmpty();
    }

    /** Another node than the load owner, in another part of a divided deployment, must not replace the table. */
    @Test
    void tableOfAnotherNodeIsIgnored() {
        owner = "127.0.0.1:3";
        mesh.onMessage(other, table(500, 40_000, 20));
        assertThat(loads.estimate("p", engine("e0"), PROMPT)).isEmpty();
    }

    /** Tokens that this node has sent since the table must count, and those in the table must not count twice. */
    @Test
    void ownTokensCountOnce() {
        mesh.onMessage(other, table(1000, 40_000, 20));
        EngineAttempt attempt = loads.sent("p", engine("e0"), PROMPT);
        assertThat(waiting("e0")).isEqualTo(8000);
        time.advance(200 * MILLI);
        mesh.onMessage(other, loadsMessage(List.of("e0"), List.of(8000L), List.of(1000L), 40_000, 20));
        assertThat(waiting("e0")).isEqualTo(8000);
        attempt.event(time.nanoTime());
        assertThat(waiting("e0")).isZero();
    }

    /** Attempts of other nodes must count, and own ones must not count twice once they are in the table. */
    @Test
    void streamsOfAllNodesCountOnce() {
        mesh.onMessage(other, streamsMessage(3));
        EngineAttempt attempt = loads.sent("p", engine("e0"), PROMPT);
        assertThat(streams("e0")).isEqualTo(4);
        time.advance(200 * MILLI);
        mesh.onMessage(other, streamsMessage(4));
        assertThat(streams("e0")).isEqualTo(4);
        attempt.ended();
        assertThat(streams("e0")).isEqualTo(3);
    }

    /** A node that joins, or a new owner, knows no own streams of the table before: they must not be subtracted. */
    @Test
    void ownStreamsAreNeverFewerThanCounted() {
        mesh.onMessage(other, streamsMessage(0));
        loads.sent("p", engine("e0"), PROMPT);
        time.advance(200 * MILLI);
        mesh.onMessage(other, streamsMessage(0));
        assertThat(streams("e0")).isEqualTo(1);
    }

    /** Streams that end change no waiting tokens: nodes would go on to take their engine for a busy one. */
    @ParameterizedTest
    @CsvSource({"5, 5, false", "5, 4, false", "5, 3, true", "1, 0, true", "0, 1, true"})
    void changedStreamsAreSent(long before, long after, boolean expected) {
        EngineLoad known = new EngineLoad(0, before, EngineLoad.MEDIAN_PACE, 0);
        EngineLoad load = new EngineLoad(0, after, EngineLoad.MEDIAN_PACE, 0);
        assertThat(load.differsFrom(known)).isEqualTo(expected);
    }

    /** The home engine has the shared part cached, and others once this node has sent it to them. */
    @Test
    void cachedPartsAreKnown() {
        mesh.onMessage(other, table(1000, 40_000, 20));
        List<String> cached = cachedAt();
        assertThat(cached).hasSize(1);
        String away = cached.contains("e0") ? "e1" : "e0";
        loads.sent("p", engine(away), PROMPT);
        assertThat(cachedAt()).contains(away).containsAll(cached);
    }

    private List<String> cachedAt() {
        return directory.ready("p").stream()
                .filter(e -> loads.estimate("p", e, PROMPT).orElseThrow().cached())
                .map(UpstreamRecord::id)
                .toList();
    }

    private long streams(String id) {
        return loads.estimate("p", engine(id), PROMPT).orElseThrow().streams();
    }

    private static EngineLoadsMessage streamsMessage(long streams) {
        return new EngineLoadsMessage(
                "p", List.of("e0"), List.of(0L), List.of(streams), List.of(1000L), List.of(0L), 40_000, 20, 0, 1000);
    }

    /** Each way in which an attempt ends must give back what it counted, once. */
    @ParameterizedTest
    @ValueSource(strings = {"ended", "event ended", "event event ended", "ended ended", "event ended event ended"})
    void everyStartedAttemptEndsOnce(String steps) {
        EngineAttempt attempt = loads.sent("p", engine("e0"), PROMPT);
        assertThat(loads.streams("p")).isEqualTo(1);
        for (String step : steps.split(" ")) {
            if (step.equals("event")) {
                attempt.event(time.nanoTime());
            } else {
                attempt.ended();
            }
        }
        assertThat(loads.streams("p")).isZero();
        assertThat(loads.waitingTokens("p")).isZero();
    }

    /** A route without engines must cost nothing and count nothing. */
    @Test
    void attemptsAtOtherUpstreamsAreNotCounted() {
        EngineAttempt attempt = loads.sent("plain", engine("e0"), PROMPT);
        attempt.event(0);
        attempt.ended();
        assertThat(attempt).isSameAs(EngineAttempt.NONE);
        assertThat(loads.streams("plain")).isZero();
    }

    /** An engine is killed and started again under its id: its queue and its attempts are gone. */
    @Test
    void restartedEngineStartsAnew() {
        mesh.onMessage(other, table(500, 40_000, 20));
        EngineAttempt before = loads.sent("p", engine("e0"), PROMPT);
        announce("e0", 2);
        assertThat(waiting("e0")).isZero();
        assertThat(loads.estimate("p", engine("e0"), PROMPT).orElseThrow().pace())
                .isEqualTo(1);
        EngineAttempt after = loads.sent("p", engine("e0"), PROMPT);
        before.ended();
        assertThat(waiting("e0")).isEqualTo(8000);
        after.ended();
        assertThat(loads.streams("p")).isZero();
    }

    /** A new load owner knows nothing: it must be told of the attempts that are in progress. */
    @Test
    void newOwnerIsToldEverything() {
        owner = "127.0.0.1:3";
        loads.sent("p", engine("e0"), PROMPT);
        time.advance(200 * MILLI);
        owner = OTHER;
        time.advance(200 * MILLI);
        assertThat(other.sent(EngineSamplesMessage.class))
                .anySatisfy(m -> assertThat(m.waitingTokens()).containsExactly(8000L));
    }

    /** Long prompts take seconds: counts that do not change must be confirmed, or the owner would drop them. */
    @Test
    void countsInProgressAreConfirmed() {
        loads.sent("p", engine("e0"), PROMPT);
        time.advance(3000 * MILLI);
        assertThat(other.sent(EngineSamplesMessage.class)).hasSizeBetween(4, 10);
    }

    /** More frequent reports of a large pool, with its large tables, would exceed the traffic that a node may cause. */
    @ParameterizedTest
    @CsvSource({"40, 18, 22", "41, 9, 11"})
    void intervalDependsOnTheSizeOfThePool(int engines, int min, int max) {
        for (int i = 2; i < engines; i++) {
            announce("e" + i, 1);
        }
        for (int i = 0; i < 160; i++) {
            loads.sent("p", engine("e0"), PROMPT);
            time.advance(10 * MILLI);
        }
        assertThat(other.sent(EngineSamplesMessage.class)).hasSizeBetween(min, max);
    }

    /** Nodes at rest must not send anything. */
    @Test
    void nothingIsSentAtRest() {
        loads.sent("p", engine("e0"), PROMPT).ended();
        time.advance(1000 * MILLI);
        int sent = other.sent(EngineSamplesMessage.class).size();
        time.advance(10_000 * MILLI);
        assertThat(other.sent(EngineSamplesMessage.class)).hasSize(sent);
        assertThat(other.sent(EngineLoadsMessage.class)).isEmpty();
    }

    /** A node is lost, or silent for a second: its tokens must not burden engines any more. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void countsOfALostNodeAreForgotten(boolean closed) {
        owner = SELF;
        mesh.onMessage(other, samples("e0", 90_000, 1));
        time.advance(200 * MILLI);
        assertThat(loads.waitingTokens("p")).isEqualTo(90_000);
        if (closed) {
            mesh.onClose(other);
            time.advance(200 * MILLI);
        } else {
            time.advance(1400 * MILLI);
        }
        assertThat(loads.waitingTokens("p")).isZero();
    }

    /** A node that has just come must get all engines, not only those that change. */
    @Test
    void newNodeGetsTheWholeTable() {
        owner = SELF;
        mesh.onMessage(other, samples("e0", 90_000, 1));
        mesh.onMessage(other, samples("e1", 90_000, 1));
        time.advance(200 * MILLI);
        FakePeer late = new FakePeer("127.0.0.1:4");
        mesh.onOpen(late);
        mesh.onMessage(late, hello());
        time.advance(200 * MILLI);
        assertThat(late.sent(EngineLoadsMessage.class).get(0).engines()).containsExactlyInAnyOrder("e0", "e1");
    }

    /** A node that has dropped its table would take engines that don't change for fast ones, and a slow one first. */
    @Test
    void nodeWithAPartialTableGetsAllEnginesAgain() {
        owner = SELF;
        for (int i = 0; i < 6; i++) {
            mesh.onMessage(other, samples("e0", 90_000, 1));
            mesh.onMessage(other, samples("e1", 90_000, 1));
            time.advance(300 * MILLI);
        }
        assertThat(other.sent(EngineLoadsMessage.class))
                .filteredOn(table -> table.engines().size() == 2)
                .hasSizeBetween(2, 3);
    }

    /** The load owner must not talk to itself over the network. */
    @Test
    void ownerSendsNoReports() {
        owner = SELF;
        loads.sent("p", engine("e0"), PROMPT);
        time.advance(1000 * MILLI);
        assertThat(other.sent(EngineSamplesMessage.class)).isEmpty();
        assertThat(loads.waitingTokens("p")).isEqualTo(8000);
    }

    /** Values that are not possible must neither be used nor break the node. */
    @ParameterizedTest
    @CsvSource({
        "-1, 1000, 40000, 20",
        "9000000000000, 1000, 40000, 20",
        "0, 0, 40000, 20",
        "0, 100000, 40000, 20",
        "0, 1000, -5, 20",
        "0, 1000, 40000, 9000000000000"
    })
    void impossibleTablesAreDropped(long waiting, long pace, long speed, long base) {
        mesh.onMessage(other, loadsMessage(List.of("e0"), List.of(waiting), List.of(pace), speed, base));
        assertThat(loads.estimate("p", engine("e0"), PROMPT)).isEmpty();
        assertThat(loads.droppedMessages()).isEqualTo(1);
    }

    /** Lists of different length, unknown pools, too many engines and samples from the future must be dropped. */
    @ParameterizedTest
    @ValueSource(strings = {"uneven", "pool", "engines", "future", "index", "id"})
    void malformedSamplesAreDropped(String fault) {
        owner = SELF;
        List<Long> one = List.of(1L);
        int count = fault.equals("engines") ? 513 : 1;
        List<String> ids = Collections.nCopies(count, fault.equals("id") ? "" : "e0");
        List<Long> zeros = LongStream.range(0, count).mapToObj(i -> 0L).toList();
        mesh.onMessage(
                other,
                new EngineSamplesMessage(
                        fault.equals("pool") ? "unknown" : "p",
                        ids,
                        zeros,
                        fault.equals("uneven") ? List.of(0L, 0L) : zeros,
                        zeros,
                        List.of(fault.equals("index") ? 7L : 0L),
                        one,
                        one,
                        List.of(fault.equals("future") ? -5000L : 1L),
                        0));
        assertThat(loads.droppedMessages()).isEqualTo(1);
    }

    /** Reports of many ids, from a node with a fault, must not fill the memory of the load owner. */
    @Test
    void ownerKeepsABoundedNumberOfEngines() {
        OwnerModel model = new OwnerModel();
        for (int i = 0; i < 2000; i++) {
            model.merge(OTHER, samples("x" + i, 100, 1), 0);
        }
        assertThat(model.loads(0)).hasSize(512);
    }

    /** Late reports of engines that have left must not take the places of new engines for good. */
    @Test
    void ownerForgetsEnginesThatAreNoLongerReported() {
        OwnerModel model = new OwnerModel();
        for (int i = 0; i < 512; i++) {
            model.merge(OTHER, samples("x" + i, 0, 0), 0);
        }
        model.loads(61_000 * MILLI);
        model.merge(OTHER, samples("new", 100, 1), 61_000 * MILLI);
        assertThat(model.loads(61_000 * MILLI)).containsOnlyKeys("new");
    }

    /** An engine with a long stream must not be forgotten between two changes of its counts. */
    @Test
    void ownerKeepsEnginesWithStreams() {
        OwnerModel model = new OwnerModel();
        model.merge(OTHER, samples("e0", 0, 1), 0);
        model.merge(OTHER, samples("e1", 0, 1), 61_000 * MILLI);
        assertThat(model.loads(61_000 * MILLI)).containsOnlyKeys("e0", "e1");
    }

    /** One attempt that hung for a minute must not mark its engine as slow. */
    @Test
    void oneOutlierDoesNotMarkAnEngine() {
        EngineModel engine = new EngineModel();
        for (int i = 0; i < 6; i++) {
            engine.add(8000, i == 3 ? 60_000 : 200, 40, i * 500 * MILLI);
        }
        assertThat(engine.pace(40, 3000 * MILLI)).isGreaterThan(0.8);
    }

    /** An engine that gets no more requests must not stay marked as slow. */
    @Test
    void paceOfAnUnusedEngineReturnsToTheMedian() {
        EngineModel engine = new EngineModel();
        for (int i = 0; i < 12; i++) {
            engine.add(8000, 440, 40, i * 500 * MILLI);
        }
        assertThat(engine.pace(40, 6000 * MILLI)).isLessThan(0.65);
        assertThat(engine.pace(40, 26_000 * MILLI)).isEqualTo(1);
    }

    /** The encoding must not change values, and bytes that are none must not be read as some. */
    @Test
    void messagesSurviveTheWire() throws MalformedFrameException {
        WireMessage samples = samples("e0", 90_000, 3);
        WireMessage table = table(513, 40_000, 20);
        assertThat(registry.decode(registry.encode(samples))).contains(samples);
        assertThat(registry.decode(registry.encode(table))).contains(table);
        assertThat(PackedNumbers.unpack(new byte[] {(byte) 0xff, (byte) 0xff})).isEmpty();
    }

    private void tellThatEnginesDiffer() {
        for (int i = 0; i < 8; i++) {
            mesh.onMessage(other, table(500, 40_000, 20));
            time.advance(160 * MILLI);
        }
    }

    private long waiting(String engine) {
        return loads.estimate("p", engine(engine), PROMPT).orElseThrow().waitingTokens();
    }

    private UpstreamRecord engine(String id) {
        return directory.find(id).orElseThrow();
    }

    private void announce(String id, long incarnation) {
        directory.accept(
                new UpstreamRecord(
                        id,
                        incarnation,
                        "p",
                        "10.0.0.1:" + id.substring(1),
                        "d",
                        UpstreamPhase.READY,
                        64,
                        1,
                        0,
                        0,
                        SoftwareVersion.UNSTATED),
                time.nanoTime());
    }

    private static EngineLoadsMessage table(long pace, long speed, long base) {
        return loadsMessage(List.of("e0", "e1"), List.of(0L, 0L), List.of(pace, 1000L), speed, base);
    }

    private static EngineLoadsMessage loadsMessage(
            List<String> ids, List<Long> waiting, List<Long> paces, long speed, long base) {
        List<Long> zeros = ids.stream().map(id -> 0L).toList();
        return new EngineLoadsMessage(
                "p",
                ids,
                waiting,
                zeros,
                paces,
                zeros,
                speed,
                base,
                0,
                paces.stream().mapToLong(p -> p).min().orElse(1));
    }

    private static EngineSamplesMessage samples(String id, long waiting, long streams) {
        List<Long> none = List.of();
        return new EngineSamplesMessage(
                "p", List.of(id), List.of(waiting), List.of(streams), List.of(0L), none, none, none, none, waiting);
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 0);
    }
}
