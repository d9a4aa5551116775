package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.copperspindle.backpressure.BackoffSignal;
import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.coldstart.SenderSetAdmission;
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
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three engines: the home engine of the prompt, which has 40,000 unread tokens and running streams, an equal one, and a
 * slow one. The home engine reads 50 tokens a millisecond; a request with 10,000 own tokens waits 220 ms for it.
 */
class UpstreamSearchTest {

    private static final long MILLI = 1_000_000L;
    private static final List<String> IDS = List.of("e0", "e1", "slow");
    private static final long HOME_WAITING_TOKENS = 40_000;
    private static final long WAIT_MILLIS = 220;
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
    private final SendPermits permits = SingleNodePermits.of(new UpstreamLimits(directory, log), time);
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
    private final Set<String> tried = new HashSet<>();
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

    /** Guards against requests that are sent to an engine while it is busy, or that wait longer than it is. */
    @Test
    void requestWaitsForItsHomeEngine() {
        UpstreamSearch search = search(2000, 600, OptionalLong.empty());
        search.seek();
        time.advance((WAIT_MILLIS - 1) * MILLI);
        assertThat(selected).isEmpty();
        sendTable(HOME_WAITING_TOKENS - WAIT_MILLIS * 50);
        time.advance(2 * MILLI);
        assertThat(selected).containsExactly("e0");
        assertThat(search.placement())
                .hasValueSatisfying(p -> assertThat(p.waitedNanos()).isEqualTo(WAIT_MILLIS * MILLI));
        assertThat(counters.placementWaits()).isEqualTo(1);
        assertThat(counters.placements()).containsEntry("home", 1L);
    }

    /** The home engine has got other prompts meanwhile: the wait must end after 400 ms, at another engine. */
    @Test
    void waitForAnEngineThatStaysBusyIsBounded() {
        search(2000, 600, OptionalLong.empty()).seek();
        long waited = 0;
        while (selected.isEmpty() && waited < 3000) {
            time.advance(10 * MILLI);
            sendTable(HOME_WAITING_TOKENS);
            waited += 10;
        }
        assertThat(waited).isLessThanOrEqualTo(400);
        assertThat(selected).containsExactly("e1");
        assertThat(counters.placementWaits()).isEqualTo(1);
    }

    /** Routes without a longest pause, and requests whose pools have no fresh table, must be decided at once. */
    @ParameterizedTest
    @CsvSource({"0, true", "600, false"})
    void withoutLongestPauseOrTableNothingWaits(long maxPauseMillis, boolean isFresh) {
        time.advance(isFresh ? 0 : 1100 * MILLI);
        UpstreamSearch search = search(2000, maxPauseMillis, OptionalLong.empty());
        search.seek();
        assertThat(selected).hasSize(1);
        assertThat(search.placement()).isEmpty();
        assertThat(counters.placements()).isEmpty();
    }

    /** A table that expires during a wait must not keep the request waiting for the loads that it had. */
    @Test
    void tableExpiresDuringAWait() {
        time.advance(900 * MILLI);
        UpstreamSearch search = search(2000, 600, OptionalLong.empty());
        search.seek();
        assertThat(selected).isEmpty();
        time.advance(WAIT_MILLIS * MILLI);
        assertThat(selected).containsExactly("e0");
        assertThat(search.placement()).isEmpty();
    }

    /** A request must not be sent to an engine that has left while it waited. */
    @Test
    void engineLeavesDuringAWait() {
        search(2000, 600, OptionalLong.empty()).seek();
        announce("e0", UpstreamPhase.GONE);
        time.advance(WAIT_MILLIS * MILLI);
        assertThat(selected).hasSize(1).doesNotContain("e0");
    }

    /** The caller has left, or the deadline has passed: the request ends the search, and must not be sent later. */
    @Test
    void cancelledSearchSelectsNothing() {
        UpstreamSearch search = search(2000, 600, OptionalLong.empty());
        search.seek();
        search.cancel();
        time.advance(3000 * MILLI);
        assertThat(selected).isEmpty();
        assertThat(counters.placements()).isEmpty();
    }

    /** A wait must end when the caller is about to leave, and must not be entered with less time than that. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100})
    void waitEndsBeforeTheCallerLeaves(long callerMillis) {
        search(2000, 600, callerMillis, OptionalLong.empty()).seek();
        time.advance(callerMillis * MILLI);
        assertThat(selected).hasSize(1);
    }

    /** Each of many requests that wait for one engine must end its wait within its bound. */
    @Test
    void manyRequestsWaitForOneEngine() {
        IntStream.range(0, 50)
                .forEach(i -> search(2000, 600, OptionalLong.empty()).seek());
        assertThat(selected).isEmpty();
        for (int i = 0; i < 5; i++) {
            time.advance(80 * MILLI);
            sendTable(HOME_WAITING_TOKENS);
        }
        assertThat(selected).hasSize(50);
        assertThat(counters.placementWaits()).isEqualTo(50);
    }

    /** A request that has already waited for backoffs of all engines must not wait for one of them as well. */
    @Test
    void delayByBackoffsCountsAsWait() {
        IDS.forEach(
                id -> backoffs.onResponse(id, new BackoffSignal.Asked(Duration.ofMillis(450)), false, time.nanoTime()));
        search(2500, 600, OptionalLong.empty()).seek();
        assertThat(selected).isEmpty();
        for (int i = 0; i < 6; i++) {
            time.advance(80 * MILLI);
            sendTable(HOME_WAITING_TOKENS);
        }
        assertThat(selected).hasSize(1);
        assertThat(counters.placementWaits()).isZero();
    }

    /** Attempts after the first one must not wait: their requests are delayed already. */
    @Test
    void retriedRequestDoesNotWait() {
        tried.add("slow");
        search(2000, 600, OptionalLong.empty()).seek();
        assertThat(selected).containsExactly("e1");
    }

    /** A resumed stream goes to an engine that is in time, at once, although its objective has passed long ago. */
    @Test
    void resumedStreamIsPlacedByTheTimeOfItsNextEvent() {
        UpstreamSearch search = search(-3000, 600, OptionalLong.of(time.nanoTime() + 380 * MILLI));
        search.seek();
        assertThat(selected).containsExactly("e1");
        assertThat(search.placement())
                .hasValueSatisfying(p -> assertThat(p.reason().label()).isEqualTo("resumed"));
    }

    private UpstreamSearch search(long leftMillis, long maxPauseMillis, OptionalLong nextEventBy) {
        return search(leftMillis, maxPauseMillis, 6000, nextEventBy);
    }

    private UpstreamSearch search(long leftMillis, long maxPauseMillis, long callerMillis, OptionalLong nextEventBy) {
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
                now, now + leftMillis * MILLI, now + 20_000 * MILLI, now + callerMillis * MILLI, false);
        AdmittedRequest admitted = new AdmittedRequest(
                request, TestRoutes.table(1, List.of(route), List.of(POOL)), route, Optional.empty(), "p", times);
        GatewayContext context = TestContexts.search(time, chooser, permits, counters);
        return new UpstreamSearch(
                context, admitted, tried, StageInputs.NONE, nextEventBy, new UpstreamSearch.Listener() {
                    @Override
                    public void onUpstreamSelected(UpstreamRecord upstream) {
                        selected.add(upstream.id());
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
        directory.accept(new UpstreamRecord(id, 1, "p", address, "d", phase, 64, 1, 0, 0), time.nanoTime());
    }

    private static long score(String part, String engine) {
        return RendezvousScore.of(part, engine);
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 0);
    }
}
