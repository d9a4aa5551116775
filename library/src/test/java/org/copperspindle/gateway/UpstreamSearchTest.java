package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;

import org.copperspindle.backpressure.BackoffSignal;
import org.copperspindle.backpressure.LimitSignal;
import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.coldstart.SenderSetAdmission;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.engineload.EngineLoadsMessage;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.placement.EnginePlacements;
import org.copperspindle.placement.PlacementReason;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.routing.RendezvousScore;
import org.copperspindle.stage.StageInputs;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/**
 * Three engines: the home engine of the prompt, which has 40,000 unread tokens and running streams, an equal one, and a
 * slow one. The home engine reads 50 tokens a millisecond, and is in a failure domain of its own.
 */
class UpstreamSearchTest {

    private static final long MILLI = 1_000_000L;
    private static final List<String> IDS = List.of("e0", "e1", "slow");
    private static final long HOME_WAITING_TOKENS = 40_000;
    private static final UpstreamPool POOL =
            new UpstreamPool("p", 100, Optional.empty(), OptionalInt.of(64), Optional.empty());

    private final WireTransport transport = new WireTransport(
            1, GatewayMessages.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:1", 1));
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
            transport,
            time,
            UpstreamSearchTest::hello);
    private final FakePeer owner = new FakePeer("127.0.0.1:2");
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final LogRateLimiter log = new LogRateLimiter(0, 0);
    private final EngineLoads loads = new EngineLoads(mesh, time, directory, pool -> "127.0.0.1:2", "p"::equals, log);
    private final UpstreamTracker tracker = new UpstreamTracker();
    private final UpstreamLimits limits = new UpstreamLimits(directory, log);
    private final SendPermits permits = SingleNodePermits.of(limits, time);
    private final UpstreamBackoffs backoffs = new UpstreamBackoffs(directory, log);
    private final GatewayCounters counters = new GatewayCounters();
    private final UpstreamChooser chooser = new UpstreamChooser(
            directory,
            tracker,
            new SenderSetAdmission("127.0.0.1:1", List::of, () -> false),
            permits,
            backoffs,
            new Random(1),
            "d");
    private final List<String> selected = new ArrayList<>();
    private final List<UpstreamRecord> records = new ArrayList<>();
    private final UpstreamEligibility eligibility = new UpstreamEligibility(upstream -> true);
    private final String shared;

    UpstreamSearchTest() {
        mesh.subscribe(loads);
        mesh.onOpen(owner);
        mesh.onMessage(owner, hello());
        IDS.forEach(id -> announce(id, UpstreamPhase.READY));
        chooser.chooseEnginesWith(new EstimatedEngineChoice(loads, new AffinityEngineChoice(tracker)));
        chooser.placeWith(new EnginePlacer(loads, EnginePlacements.undisturbed()));
        shared = IntStream.range(0, 1000)
                .mapToObj(i -> "part" + i)
                .filter(part -> score(part, "e0") > score(part, "e1") && score(part, "e0") > score(part, "slow"))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 8; i++) {
            sendTable(HOME_WAITING_TOKENS);
            time.advance(160 * MILLI);
        }
        sendTable(HOME_WAITING_TOKENS);
    }

    @AfterEach
    void close() {
        transport.close();
    }

    /** A prompt that would interrupt the streams of its home engine for long must go to another engine at once. */
    @Test
    void requestLeavesItsBusyHomeEngine() {
        UpstreamSearch search = search(2000, 600, OptionalLong.empty());
        search.seek();
        assertThat(selected).containsExactly("e1");
        assertThat(search.placement()).contains(PlacementReason.OTHER);
        assertThat(counters.placements()).containsOnly(Map.entry("other", 1L));
    }

    /** Routes without a longest pause, and pools without a fresh table, must be decided without loads. */
    @ParameterizedTest
    @CsvSource({"0, true", "600, false"})
    void withoutLongestPauseOrTableNothingIsPlacedByLoad(long maxPauseMillis, boolean isFresh) {
        time.advance(isFresh ? 0 : 1100 * MILLI);
        UpstreamSearch search = search(2000, maxPauseMillis, OptionalLong.empty());
        search.seek();
        assertThat(selected).hasSize(1);
        assertThat(search.placement()).isEmpty();
        assertThat(counters.placements()).isEmpty();
    }

    /** Guards against a stream that is recorded under a version which its engine had while the permit was awaited. */
    @Test
    void recordIsTheNewestWhenThePermitIsValid() {
        announce("e1", UpstreamPhase.LEAVING);
        announce("slow", UpstreamPhase.LEAVING);
        limits.onResponse("e0", new LimitSignal.Named(1), time.nanoTime(), time.nanoTime());
        permits.requestPermit("e0", 0, result -> {});
        search(2000, 0, OptionalLong.empty()).seek();
        assertThat(records).isEmpty();
        directory.accept(
                record("e0", "10.0.0.9:1", UpstreamPhase.READY, 2, SoftwareVersion.of("new")), time.nanoTime());
        time.advance(2000 * MILLI);
        assertThat(records)
                .extracting(UpstreamRecord::address, UpstreamRecord::software)
                .containsExactly(tuple("10.0.0.9:1", SoftwareVersion.of("new")));
    }

    /** The caller has left while engines back off: the search must not select one later. */
    @Test
    void cancelledSearchSelectsNothing() {
        IDS.forEach(
                id -> backoffs.onResponse(id, new BackoffSignal.Asked(Duration.ofMillis(450)), false, time.nanoTime()));
        UpstreamSearch search = search(2500, 600, OptionalLong.empty());
        search.seek();
        search.cancel();
        time.advance(3000 * MILLI);
        assertThat(selected).isEmpty();
        assertThat(counters.placements()).isEmpty();
    }

    /** Requests that waited for backoffs of all engines must be placed by the loads at that time. */
    @Test
    void requestIsPlacedAfterBackoffs() {
        IDS.forEach(
                id -> backoffs.onResponse(id, new BackoffSignal.Asked(Duration.ofMillis(450)), false, time.nanoTime()));
        search(2500, 600, OptionalLong.empty()).seek();
        assertThat(selected).isEmpty();
        for (int i = 0; i < 6; i++) {
            time.advance(80 * MILLI);
            sendTable(0);
        }
        assertThat(selected).containsExactly("e0");
        assertThat(counters.placements()).containsOnly(Map.entry("home", 1L));
    }

    /**
     * Large stage results are made in the failure domain of the predicted engine. A prediction with all the time that is
     * left before the stages would name the home engine, where the request is late after them.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, d0", "1300, 0, d0", "1300, 25000, d1", "0, 25000, d0", "0, 40000, d1"})
    void predictedFailureDomainIsThatOfTheEngineAfterTheStages(long stagesMillis, long waiting, String expected) {
        sendTable(waiting);
        AdmittedRequest admitted = admitted(2000, 600, 6000);
        Optional<UpstreamRecord> predicted = UpstreamSearch.predict(
                TestContexts.search(time, chooser, permits, counters),
                admitted,
                eligibility,
                stagesMillis * MILLI,
                time.nanoTime());
        assertThat(predicted).map(UpstreamRecord::failureDomain).contains(expected);
        for (long millis = 0; millis < stagesMillis; millis += 100) {
            time.advance(100 * MILLI);
            sendTable(waiting);
        }
        search(admitted, OptionalLong.empty()).seek();
        assertThat(selected).containsExactly(predicted.orElseThrow().id());
    }

    /** A resumed stream goes to an engine that is in time, at once, although its objective has passed long ago. */
    @Test
    void resumedStreamIsPlacedByTheTimeOfItsNextEvent() {
        UpstreamSearch search = search(-3000, 600, OptionalLong.of(time.nanoTime() + 380 * MILLI));
        search.seek();
        assertThat(selected).containsExactly("e1");
        assertThat(search.placement()).contains(PlacementReason.RESUMED);
    }

    /** A version that is about to be recorded must not make the search refuse at once, nor wait longer than callers do. */
    @ParameterizedTest
    @CsvSource({"0, 6000, 0, e1", "200, 6000, 300, e1", "5000, 6000, 1100, none", "5000, 400, 450, none"})
    void searchWaitsForVersionsToBeRecorded(long recordedMillis, long callerMillis, long endMillis, String expected) {
        long recordedAt = time.nanoTime() + recordedMillis * MILLI;
        eligibility.beginOnlyAt(upstream -> time.nanoTime() - recordedAt >= 0);
        UpstreamSearch search = search(admitted(2000, 600, callerMillis), OptionalLong.empty());
        search.waitFor(eligibility::isAwaited);
        search.seek();
        assertThat(selected).hasSize(recordedMillis == 0 ? 1 : 0);
        time.advance(Math.max(0, endMillis - 150) * MILLI);
        assertThat(selected).hasSize(recordedMillis == 0 ? 1 : 0);
        time.advance(150 * MILLI);
        assertThat(selected).containsExactly(expected);
    }

    /** The version is retired while the request waits for its backoff: it must not be sent then. */
    @Test
    void conditionIsCheckedAgainAfterABackoff() {
        IDS.forEach(
                id -> backoffs.onResponse(id, new BackoffSignal.Asked(Duration.ofMillis(450)), false, time.nanoTime()));
        UpstreamSearch search = search(2500, 600, OptionalLong.empty());
        search.waitFor(eligibility::isAwaited);
        search.seek();
        eligibility.beginOnlyAt(upstream -> false);
        time.advance(3000 * MILLI);
        assertThat(selected).containsExactly("none");
    }

    private UpstreamSearch search(long leftMillis, long maxPauseMillis, OptionalLong nextEventBy) {
        return search(admitted(leftMillis, maxPauseMillis, 6000), nextEventBy);
    }

    private AdmittedRequest admitted(long leftMillis, long maxPauseMillis, long callerMillis) {
        Route route = new Route(
                "r",
                "h",
                "/x/",
                RouteKind.STREAM,
                Duration.ofSeconds(20),
                Duration.ofMillis(1700),
                1,
                List.of(new WeightedPool("p", 1)),
                2,
                List.of(),
                false,
                false,
                Duration.ofMillis(maxPauseMillis));
        GatewayRequest request = TestRequests.request(
                "id",
                OptionalLong.empty(),
                List.of(new PromptPart(shared, 5000), new PromptPart("own", 10_000)),
                List.of());
        long now = time.nanoTime();
        RequestTimes times = new RequestTimes(
                now, now + leftMillis * MILLI, now + 20_000 * MILLI, now + callerMillis * MILLI, false, false);
        return new AdmittedRequest(
                request, TestRoutes.table(1, List.of(route), List.of(POOL)), route, Optional.empty(), "p", times);
    }

    private UpstreamSearch search(AdmittedRequest admitted, OptionalLong nextEventBy) {
        GatewayContext context = TestContexts.search(time, chooser, permits, counters);
        return new UpstreamSearch(
                context, admitted, eligibility, StageInputs.NONE, nextEventBy, new UpstreamSearch.Listener() {
                    @Override
                    public void onUpstreamSelected(UpstreamRecord upstream) {
                        selected.add(upstream.id());
                        records.add(upstream);
                    }

                    @Override
                    public void onNoUpstream(OptionalLong freeNanos) {
                        selected.add("none");
                    }
                });
    }

    private void sendTable(long homeWaitingTokens) {
        mesh.onMessage(
                owner,
                new EngineLoadsMessage(
                        "p",
                        IDS,
                        List.of(homeWaitingTokens, 0L, 0L),
                        List.of(5L, 5L, 5L),
                        List.of(1000L, 1000L, 450L),
                        List.of(0L, 0L, 0L),
                        50_000,
                        20,
                        0,
                        450));
    }

    private void announce(String id, UpstreamPhase phase) {
        String address = "10.0.0." + IDS.indexOf(id) + ":1";
        directory.accept(record(id, address, phase, 1, SoftwareVersion.UNSTATED), time.nanoTime());
    }

    private static UpstreamRecord record(
            String id, String address, UpstreamPhase phase, long sequence, SoftwareVersion software) {
        return new UpstreamRecord(
                id, 1, "p", address, id.equals("e0") ? "d0" : "d1", phase, 64, sequence, 0, 0, software);
    }

    private static long score(String part, String engine) {
        return RendezvousScore.of(part, engine);
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 0);
    }
}
