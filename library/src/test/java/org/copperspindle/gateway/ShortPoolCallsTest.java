package org.copperspindle.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.FleetStageStarts;
import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.PieceGroup;
import org.copperspindle.batch.PoolLoadMessage;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ShortPoolCallsTest {

    private static final long MILLI = 1_000_000L;
    private static final int GROUP_PIECES = 20;
    private static final long RESULT_BYTES = 1_000;

    /** The results of a call and a half fit into the memory. */
    private static final BatchLimits LIMITS =
            new BatchLimits(1, 2, 30, 240 * MILLI, 10 * MILLI, 45 * RESULT_BYTES, 4_000 * MILLI, 0);

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();

    /** Guards against a shortage of one pool that splits groups of another one, or that reaches no dispatcher. */
    @Test
    void callsAreFilledOnlyInThePoolThatIsShort() {
        Map<String, BatchLimits> limits = Map.of("short", LIMITS, "idle", LIMITS);
        try (SingleNodeBatches node =
                new SingleNodeBatches(time, directory, new SimulatedStages(time, limits, Map.of()), limits)) {
            node.service().fillCallsWhile("short"::equals);
            limits.keySet().forEach(pool -> submitGroups(node.service(), pool));
            time.advance(100 * MILLI);
            assertThat(node.service().work("short").splitGroups()).isEqualTo(1);
            assertThat(node.service().work("idle").splitGroups()).isZero();
        }
    }

    /**
     * Guards against a shortage that the admission knows of but the batch service does not ask it for: calls would
     * stay partly empty as long as it lasts.
     */
    @Test
    void shortageKnownToTheAdmissionFillsCalls() {
        Map<String, BatchLimits> limits = Map.of("short", LIMITS, "idle", LIMITS);
        try (SingleNodeBatches node =
                new SingleNodeBatches(time, directory, new SimulatedStages(time, limits, Map.of()), limits)) {
            FleetStageStarts starts = StageStartsFactory.create(
                    node.relay(),
                    time,
                    node.service(),
                    () -> Optional.of(table()),
                    new FirstEventLatencies(),
                    new LogRateLimiter(0, 0));
            node.relay().mesh().subscribe(starts);
            starts.start();
            announceShortage(node.relay().mesh(), "short");
            limits.keySet().forEach(pool -> submitGroups(node.service(), pool));
            time.advance(100 * MILLI);
            assertThat(node.service().work("short").splitGroups()).isEqualTo(1);
            assertThat(node.service().work("idle").splitGroups()).isZero();
        }
    }

    private static void announceShortage(NodeMesh mesh, String pool) {
        FakePeer peer = new FakePeer("127.0.0.1:2");
        mesh.onOpen(peer);
        mesh.onMessage(peer, new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 1));
        mesh.onMessage(peer, new PoolLoadMessage(pool, 500, 100, 0, true));
    }

    private static RouteTable table() {
        List<Route> routes = Stream.of("short", "idle")
                .flatMap(pool -> Stream.of(route(pool, 0), route(pool, 1)))
                .toList();
        return TestRoutes.table(
                1,
                routes,
                List.of(TestRoutes.stagePool("short"), TestRoutes.stagePool("idle"), TestRoutes.pool("engines")));
    }

    /** Requests are coordinated if routes of different priorities share a pool and leave time to wait. */
    private static Route route(String pool, int priority) {
        String name = pool + priority;
        return new Route(
                name,
                "h",
                "/" + name,
                RouteKind.STREAM,
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                priority,
                List.of(new WeightedPool("engines", 1)),
                2,
                List.of(new RouteStage(pool, List.of(), 10)),
                false,
                false,
                Duration.ofMillis(200));
    }

    private void submitGroups(BatchService service, String pool) {
        IntStream.range(0, 3).forEach(i -> service.submit(group(service.nextId(), pool), results -> {}));
        time.advance(MILLI);
        directory.accept(
                new UpstreamRecord(
                        "u-" + pool,
                        0,
                        pool,
                        pool + ":1",
                        "d0",
                        UpstreamPhase.READY,
                        1,
                        1,
                        0,
                        0,
                        SoftwareVersion.UNSTATED),
                time.nanoTime());
    }

    private static PieceGroup group(long id, String pool) {
        List<Integer> pieces = IntStream.range(0, GROUP_PIECES).boxed().toList();
        return new PieceGroup(
                id,
                "r" + id,
                0,
                pool,
                GROUP_PIECES,
                pieces,
                "k",
                List.of(),
                1,
                2000,
                4000,
                RESULT_BYTES,
                0,
                "",
                false,
                false);
    }
}
