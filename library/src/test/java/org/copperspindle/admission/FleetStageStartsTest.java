package org.copperspindle.admission;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.batch.PoolLoadMessage;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeListMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.mesh.RelayMessage;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FleetStageStartsTest {

    private static final long MILLI = 1_000_000L;
    private static final String SELF = "127.0.0.1:1";
    private static final String FIRST = "127.0.0.1:2";
    private static final String SECOND = "127.0.0.1:3";
    private static final String POOL = "s";
    private static final Route ROUTE = TestRoutes.route(
            "note",
            "h",
            "/",
            RouteKind.STREAM,
            List.of(new WeightedPool("engines", 1)),
            List.of(new RouteStage(POOL, List.of(), 10)));
    private static final RouteTable TABLE =
            TestRoutes.table(1, List.of(ROUTE), List.of(TestRoutes.stagePool(POOL), TestRoutes.pool("engines")));

    private final MessageRegistry registry = WireTransport.registry()
            .register(NodeHelloMessage.CODEC)
            .register(RelayMessage.CODEC)
            .register(StartRequestMessage.CODEC)
            .register(StartResponseMessage.CODEC)
            .register(StartCancelMessage.CODEC);
    private final WireTransport transport =
            new WireTransport(1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1));
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
            transport,
            time,
            FleetStageStartsTest::hello);
    private final FakePeer first = new FakePeer(FIRST);
    private final FakePeer second = new FakePeer(SECOND);
    private final FakeStartPolicy policy = new FakeStartPolicy();
    private final RecordingListener listener = new RecordingListener();
    private final MeshRelay relay = new MeshRelay(mesh, registry);
    private Optional<RouteTable> table = Optional.of(TABLE);
    private String controller = FIRST;
    private final FleetStageStarts starts = new FleetStageStarts(
            relay,
            time,
            pool -> controller,
            () -> table,
            pool -> PoolLoad.UNKNOWN,
            policy.of(POOL),
            new LogRateLimiter(0, 0));

    @BeforeEach
    void connect() {
        mesh.subscribe(relay);
        mesh.subscribe(starts);
        relay.subscribe(starts);
        connect(first);
        connect(second);
        starts.start();
    }

    @AfterEach
    void close() {
        transport.close();
    }

    /** A malformed load must not send requests to a controller that may not exist. */
    @Test
    void impossibleLoadDoesNotAnnounceAShortage() {
        mesh.onMessage(first, new PoolLoadMessage(POOL, -1, 100, 0, true));
        assertThat(starts.isShort(request())).isFalse();
    }

    /** Without a shortage a start request would only delay the request. */
    @ParameterizedTest
    @CsvSource({"true, 0, true", "true, 599, true", "true, 600, false", "false, 0, false"})
    void asksOnlyWhileAPoolIsShort(boolean isShort, long ageMillis, boolean asks) {
        load(first, isShort);
        time.advance(ageMillis * MILLI);
        assertThat(starts.isShort(request())).isEqualTo(asks);
    }

    /**
     * A dispatcher must know that its pool's group is short from the load of any pool of the group, and until that load
     * is outdated: it fills calls only then. Pools of other groups keep whole groups.
     */
    @ParameterizedTest
    @CsvSource({"true, 0, true", "true, 599, true", "true, 600, false", "false, 0, false"})
    void poolsOfAShortGroupAreKnown(boolean isShort, long ageMillis, boolean known) {
        assertThat(starts.isPoolShort(POOL)).isFalse();
        load(first, isShort);
        time.advance(ageMillis * MILLI);
        assertThat(starts.isPoolShort(POOL)).isEqualTo(known);
        assertThat(starts.isPoolShort("unknown")).isFalse();
    }

    /** A request without pieces needs no pool, and a huge one would be dropped by the controller. */
    @ParameterizedTest
    @ValueSource(ints = {0, 10_001})
    void requestsThatTheControllerCouldNotDecideAreNotSent(int pieces) {
        load(first, true);
        assertThat(starts.isShort(request(List.of(pieces)))).isFalse();
    }

    /** The caller must learn the decision, and the retry time with which the controller spreads the retries. */
    @ParameterizedTest
    @CsvSource({"0, 0, start", "1, 2500, refuse 2500"})
    void controllerDecides(int verdict, long retryMillis, String decision) {
        starts.request(request(), 7, listener);
        respond(first, 7, verdict, retryMillis);
        time.advance(5000 * MILLI);
        assertThat(listener.decisions).containsExactly(decision);
        assertThat(starts.counters().unanswered()).isZero();
    }

    /**
     * The controller is killed or paused before it has responded or afterwards, or receives nothing although its loads
     * arrive: the caller must not wait for it for longer than 300 ms, and it must not grant the start later.
     */
    @ParameterizedTest
    @CsvSource({"false, 0, 300", "true, 0, 300", "true, 160, 460", "false, 1000, 300"})
    void silentControllerDelaysARequestFor300Millis(boolean acknowledges, long loadsUntil, long localAt) {
        starts.request(request(), 7, listener);
        if (acknowledges) {
            respond(first, 7, StartResponseMessage.QUEUED, 0);
        }
        for (long at = 0; at < localAt - 1; at++) {
            time.advance(MILLI);
            if ((at + 1) % 80 == 0 && at + 1 <= loadsUntil) {
                load(first, true);
            }
            assertThat(listener.decisions).isEmpty();
        }
        time.advance(MILLI);
        assertThat(listener.decisions).containsExactly("local");
        assertThat(first.sent(StartCancelMessage.class)).containsExactly(new StartCancelMessage(7));
        assertThat(starts.counters().unanswered()).isEqualTo(1);
        respond(first, 7, StartResponseMessage.START, 0);
        assertThat(listener.decisions).containsExactly("local");
    }

    /**
     * The controller is paused shortly before a waiting request is sent again, or one of its connections is lost
     * after the pause began. Sending the request again must not extend the wait beyond 300 ms after the last message.
     */
    @ParameterizedTest
    @CsvSource({"880, false", "80, true"})
    void repeatedRequestDoesNotExtendTheWait(long lastLoadAt, boolean connectionLost) {
        FakePeer other = new FakePeer(FIRST);
        connect(other);
        starts.request(request(), 7, listener);
        respond(first, 7, StartResponseMessage.QUEUED, 0);
        for (long at = 80; at <= lastLoadAt; at += 80) {
            time.advance(80 * MILLI);
            load(first, true);
        }
        time.advance(200 * MILLI);
        if (connectionLost) {
            mesh.onClose(other);
        }
        time.advance(99 * MILLI);
        assertThat(listener.decisions).isEmpty();
        time.advance(MILLI);
        assertThat(listener.decisions).containsExactly("local");
    }

    /**
     * A repeated start request crosses the decision, so that the controller queues it again. Left there, it would take
     * capacity and a booked retry from requests that still wait.
     */
    @ParameterizedTest
    @ValueSource(ints = {StartResponseMessage.START, StartResponseMessage.REFUSE})
    void requestQueuedAgainAfterItsDecisionIsCancelled(int verdict) {
        starts.request(request(), 7, listener);
        respond(first, 7, verdict, 0);
        respond(first, 7, StartResponseMessage.QUEUED, 0);
        assertThat(first.sent(StartCancelMessage.class)).containsExactly(new StartCancelMessage(7));
        assertThat(listener.decisions).hasSize(1);
    }

    /** While the controller is there, a request that decided by itself would go before others that wait. */
    @Test
    void requestWaitsWhileTheControllerSendsLoads() {
        starts.request(request(), 7, listener);
        for (int i = 0; i < 40; i++) {
            if (!first.sent(StartRequestMessage.class).isEmpty()) {
                respond(first, 7, StartResponseMessage.QUEUED, 0);
            }
            load(first, true);
            time.advance(80 * MILLI);
        }
        assertThat(listener.decisions).isEmpty();
    }

    /**
     * The controller has lost the request without this node noticing, as after a change that only the controller saw.
     * The loads alone must not keep the request waiting.
     */
    @Test
    void requestForgottenByItsControllerIsDecidedLocally() {
        starts.request(request(), 7, listener);
        respond(first, 7, StartResponseMessage.QUEUED, 0);
        for (int i = 0; i < 20; i++) {
            load(first, true);
            time.advance(80 * MILLI);
        }
        assertThat(listener.decisions).containsExactly("local");
    }

    /** Each request to a controller that is silent costs its caller 300 ms; the next message shows that it is back. */
    @Test
    void silentControllerIsAskedAgainAfterItsNextMessage() {
        load(first, true);
        starts.request(request(), 7, listener);
        time.advance(300 * MILLI);
        assertThat(starts.isShort(request())).isFalse();
        load(first, true);
        assertThat(starts.isShort(request())).isTrue();
    }

    /** A controller whose loads arrive but that does not receive requests must not cost each caller 300 ms. */
    @Test
    void controllerCutOffInOneDirectionIsNotAskedForASecond() {
        starts.request(request(), 7, listener);
        time.advance(80 * MILLI);
        load(first, true);
        time.advance(220 * MILLI);
        load(first, true);
        assertThat(starts.isShort(request())).isFalse();
        time.advance(1000 * MILLI);
        load(first, true);
        assertThat(starts.isShort(request())).isTrue();
    }

    /** A start request that is lost with its connection must not cost the caller 300 ms. */
    @Test
    void unacknowledgedRequestIsSentAgain() {
        starts.request(request(), 7, listener);
        time.advance(100 * MILLI);
        assertThat(first.sent(StartRequestMessage.class)).hasSize(2);
    }

    /**
     * The controller is lost, replaced or taken over while requests wait there: they wait at the next one, and the
     * earlier one can no longer start them. After a takeover they must not wait for the next evaluation.
     */
    @ParameterizedTest
    @ValueSource(strings = {"lost", "replaced", "taken over"})
    void waitingRequestsAreSentToTheNextController(String cause) {
        starts.request(request(), 7, listener);
        respond(first, 7, StartResponseMessage.QUEUED, 0);
        controller = SECOND;
        if (cause.equals("lost")) {
            mesh.onClose(first);
            time.advance(0);
        } else {
            if (cause.equals("taken over")) {
                starts.updateControllers();
            }
            time.advance(cause.equals("taken over") ? 0 : 80 * MILLI);
            assertThat(first.sent(StartCancelMessage.class)).hasSize(1);
            respond(first, 7, StartResponseMessage.START, 0);
        }
        assertThat(second.sent(StartRequestMessage.class)).hasSize(1);
        assertThat(listener.decisions).isEmpty();
        respond(second, 7, StartResponseMessage.START, 0);
        assertThat(listener.decisions).containsExactly("start");
    }

    /** Stages that start for a response that is late, repeated or not from the controller would start twice. */
    @ParameterizedTest
    @ValueSource(strings = {"late", "twice", "foreign", "unknown"})
    void unexpectedResponsesStartNothing(String kind) {
        starts.request(request(), 7, listener);
        if (kind.equals("late")) {
            starts.cancel(7);
        } else if (kind.equals("twice")) {
            respond(first, 7, StartResponseMessage.REFUSE, 1);
        }
        int before = listener.decisions.size();
        respond(kind.equals("foreign") ? second : first, kind.equals("unknown") ? 8 : 7, 0, 0);
        assertThat(listener.decisions).hasSize(before).doesNotContain("start");
        assertThat(starts.counters().ignoredResponses()).isEqualTo(1);
    }

    /** A response out of range must neither start stages nor send a caller away for days. */
    @ParameterizedTest
    @CsvSource({"-1, 0", "3, 0", "1, -1", "1, 4000000"})
    void malformedResponsesAreDropped(int verdict, long retryMillis) {
        starts.request(request(), 7, listener);
        respond(first, 7, verdict, retryMillis);
        assertThat(listener.decisions).isEmpty();
        assertThat(starts.counters().droppedMessages()).isEqualTo(1);
    }

    /** A caller that has left must not keep a place at the controller. */
    @Test
    void cancelledRequestIsCancelledAtTheController() {
        starts.request(request(), 7, listener);
        starts.cancel(7);
        time.advance(1000 * MILLI);
        assertThat(first.sent(StartCancelMessage.class)).containsExactly(new StartCancelMessage(7));
        assertThat(listener.decisions).isEmpty();
        assertThat(starts.pendingCount()).isZero();
    }

    /** A new table may not coordinate the route any more: nobody would decide the requests that wait. */
    @Test
    void requestsOfATableWithoutCoordinationAreDecidedLocally() {
        starts.request(request(), 7, listener);
        table = Optional.of(TestRoutes.table(2, List.of(), List.of()));
        time.advance(80 * MILLI);
        assertThat(listener.decisions).containsExactly("local");
    }

    /** The controller's own requests are decided with those of others and need no message. */
    @ParameterizedTest
    @CsvSource({"true, start", "false, refuse 3000"})
    void controllerDecidesItsOwnRequests(boolean granted, String decision) {
        becomeController();
        starts.request(request(), 7, listener);
        time.advance(1000 * MILLI);
        assertThat(listener.decisions).isEmpty();
        policy.starts = granted;
        policy.refuses = !granted;
        time.advance(20 * MILLI);
        assertThat(listener.decisions).containsExactly(decision);
        assertThat(first.sent(StartRequestMessage.class)).isEmpty();
    }

    /** Without the sign of life the node would decide by itself; a repeated start request must not take a second place. */
    @Test
    void controllerReportsThatARequestWaitsAndDecidesItOnce() {
        becomeController();
        mesh.onMessage(first, message());
        mesh.onMessage(first, message());
        assertThat(policy.waiting).hasSize(1);
        policy.starts = true;
        load(second, true);
        time.advance(100 * MILLI);
        assertThat(first.sent(StartResponseMessage.class))
                .extracting(StartResponseMessage::verdict)
                .containsExactly(2, 2, 0);
        assertThat(starts.counters().starts()).containsEntry(1, 1L);
    }

    /** Requests of a lost node, a leaving caller or another controller's group would get starts that nobody uses. */
    @ParameterizedTest
    @ValueSource(strings = {"node lost", "cancelled", "no longer controller"})
    void controllerForgetsRequestsThatNoLongerWait(String cause) {
        becomeController();
        mesh.onMessage(first, message());
        mesh.onMessage(second, message());
        if (cause.equals("node lost")) {
            mesh.onClose(first);
        } else if (cause.equals("cancelled")) {
            mesh.onMessage(first, new StartCancelMessage(7));
        } else {
            controller = SECOND;
        }
        time.advance(80 * MILLI);
        boolean handedOver = cause.equals("no longer controller");
        assertThat(policy.waiting).extracting(StartRequest::node).isEqualTo(handedOver ? List.of() : List.of(SECOND));
        assertThat(starts.waitingCount()).isEqualTo(handedOver ? 0 : 1);
    }

    /** A node that lost its connection to this controller only goes on waiting through a third node. */
    @Test
    void controllerKeepsTheRequestsOfANodeThatOthersReach() {
        becomeController();
        mesh.onMessage(first, message());
        mesh.onMessage(second, new NodeListMessage(List.of(FIRST)));
        mesh.onClose(first);
        time.advance(100 * MILLI);
        policy.starts = true;
        time.advance(20 * MILLI);
        assertThat(second.sent(RelayMessage.class))
                .filteredOn(m -> m.to().equals(FIRST))
                .hasSize(1);
    }

    /**
     * The group is partitioned: this node's half has lost the controller and elects this node, which decides the
     * requests that waited there with those of its half.
     */
    @Test
    void isolatedHalfDecidesItsRequestsItself() {
        starts.request(request(), 7, listener);
        controller = SELF;
        mesh.onClose(first);
        time.advance(0);
        mesh.onMessage(second, message());
        assertThat(policy.waiting).extracting(StartRequest::node).containsExactly(SELF, SECOND);
        policy.starts = true;
        time.advance(20 * MILLI);
        assertThat(listener.decisions).containsExactly("start");
        assertThat(second.sent(StartResponseMessage.class)).contains(new StartResponseMessage(7, 0, 0));
    }

    /** Values out of range would distort the shares of all other requests, or exhaust the controller's memory. */
    @ParameterizedTest
    @MethodSource("org.copperspindle.admission.MalformedStartRequests#all")
    void malformedRequestsAreDropped(StartRequestMessage message) throws Exception {
        becomeController();
        mesh.onMessage(first, registry.decode(registry.encode(message)).orElseThrow());
        assertThat(policy.waiting).isEmpty();
        assertThat(first.sent(StartResponseMessage.class)).isEmpty();
        assertThat(starts.counters().droppedMessages()).isEqualTo(1);
    }

    /** The pools of the whole group are announced as short, and only by their controller. */
    @Test
    void onlyTheControllerAnnouncesShortage() {
        policy.isShort = true;
        time.advance(80 * MILLI);
        assertThat(starts.shortPools()).isEmpty();
        becomeController();
        assertThat(starts.shortPools()).contains(POOL);
        assertThat(starts.isShort(request())).isTrue();
        policy.isShort = false;
        time.advance(80 * MILLI);
        assertThat(starts.shortPools()).isEmpty();
    }

    private void becomeController() {
        controller = SELF;
        time.advance(80 * MILLI);
    }

    private void connect(FakePeer peer) {
        mesh.onOpen(peer);
        mesh.onMessage(peer, hello());
    }

    private void load(FakePeer from, boolean isShort) {
        mesh.onMessage(from, new PoolLoadMessage(POOL, 500, 100, 0, isShort));
    }

    private void respond(FakePeer from, long id, int verdict, long retryMillis) {
        mesh.onMessage(from, new StartResponseMessage(id, verdict, retryMillis));
    }

    private StartRequestMessage message() {
        return StartRequestMessage.of(7, request(), time.nanoTime());
    }

    private StagedRequest request() {
        return request(List.of(4));
    }

    private StagedRequest request(List<Integer> pieces) {
        long now = time.nanoTime();
        return new RemoteRequest(TABLE, ROUTE, pieces, "", 1, now, now + 2000 * MILLI, now + 9000 * MILLI, false);
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 1);
    }
}
