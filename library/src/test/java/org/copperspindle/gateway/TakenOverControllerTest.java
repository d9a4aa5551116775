package org.copperspindle.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.FleetStageStarts;
import org.copperspindle.admission.StageStarts;
import org.copperspindle.admission.StartRequestMessage;
import org.copperspindle.batch.PoolLoadMessage;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.IsolationDetector;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.standby.TakeoverMessage;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The admission and the takeover of pools, wired as in a node.
 */
class TakenOverControllerTest {

    private static final long MILLI = 1_000_000L;
    private static final String POOL = "p";
    private static final BatchLimits LIMITS =
            new BatchLimits(1, 2, 8, 240 * MILLI, 10 * MILLI, 1_000_000, 4_000 * MILLI, 0);
    private static final List<Route> ROUTES = List.of(route(0), route(1));
    private static final RouteTable TABLE =
            TestRoutes.table(1, ROUTES, List.of(TestRoutes.stagePool(POOL), TestRoutes.pool("engines")));

    private final VirtualTimerService time = new VirtualTimerService();
    private final LogRateLimiter log = new LogRateLimiter(0, 0);
    private final FakePeer dispatcher = new FakePeer("127.0.0.1:2");
    private final FakePeer standby = new FakePeer("127.0.0.1:3");
    private final SingleNodeBatches node = new SingleNodeBatches(
            time,
            new UpstreamDirectory(),
            new SimulatedStages(time, Map.of(POOL, LIMITS), Map.of()),
            Map.of(POOL, LIMITS));
    private final FleetStageStarts starts = StageStartsFactory.create(
            node.relay(), time, node.service(), () -> Optional.of(TABLE), new FirstEventLatencies(), log);

    @BeforeEach
    void connect() {
        NodeMesh mesh = node.relay().mesh();
        IsolationDetector isolation = new IsolationDetector(mesh::count, time);
        mesh.subscribe(
                StandbyFactory.create(node.relay(), time, node.service(), () -> Optional.of(TABLE), isolation, log));
        mesh.subscribe(starts);
        connect(mesh, dispatcher, 4);
        connect(mesh, standby, 3);
        starts.start();
        mesh.onMessage(dispatcher, new PoolLoadMessage(POOL, 500, 100, 0, true));
    }

    @AfterEach
    void close() {
        node.close();
    }

    /**
     * The dispatcher of the pool, which is the controller as well, has been replaced by its standby. Guards against
     * requests that are sent to a node that doesn't answer, each of which would wait for 300 ms.
     */
    @Test
    void startRequestsGoToTheStandbyDuringATakeover() {
        starts.request(request("first"), 1, new IgnoredDecision());
        assertThat(dispatcher.sent(StartRequestMessage.class)).hasSize(1);
        node.relay().mesh().onMessage(standby, new TakeoverMessage(POOL, "127.0.0.1:2", 1, false));
        // The controllers follow in a task of their own.
        time.advance(MILLI);
        assertThat(standby.sent(StartRequestMessage.class)).as("moved").hasSize(1);
        starts.request(request("second"), 2, new IgnoredDecision());
        assertThat(standby.sent(StartRequestMessage.class)).hasSize(2);
        assertThat(dispatcher.sent(StartRequestMessage.class)).hasSize(1);
    }

    private static void connect(NodeMesh mesh, FakePeer peer, int fitness) {
        mesh.onOpen(peer);
        mesh.onMessage(peer, new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, fitness));
    }

    private AdmittedRequest request(String id) {
        long now = time.nanoTime();
        RequestTimes times =
                new RequestTimes(now, now + 2_000 * MILLI, now + 3_000 * MILLI, now + 3_000 * MILLI, false, false);
        GatewayRequest request = TestRequests.request(id, OptionalLong.empty(), List.of(), List.of(4));
        return new AdmittedRequest(request, TABLE, ROUTES.get(1), Optional.empty(), "engines", times);
    }

    /** Requests are coordinated if routes of different priorities share a pool and leave time to wait. */
    private static Route route(int priority) {
        return new Route(
                "r" + priority,
                "h",
                "/" + priority,
                RouteKind.STREAM,
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                priority,
                List.of(new WeightedPool("engines", 1)),
                2,
                List.of(new RouteStage(POOL, List.of(), 10)),
                false,
                false,
                Duration.ofMillis(200));
    }

    /** Takes the decision on a request, which doesn't matter here. */
    private static final class IgnoredDecision implements StageStarts.Listener {
        @Override
        public void start() {
            // Only where the request was sent counts.
        }

        @Override
        public void refuse(long retryAfterNanos) {
            // Only where the request was sent counts.
        }

        @Override
        public void decideLocally() {
            // Only where the request was sent counts.
        }
    }
}
