package org.copperspindle.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.copperspindle.batch.MissReason;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stages of one request on idle pools: two that only its upstream reads, a short and a long one, next to a chain of
 * three.
 */
class StageRunTest {

    private static final long MILLI = 1_000_000L;
    private static final List<String> POOLS = List.of("long", "short", "a", "b", "c");

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final Map<String, BatchLimits> limits = new HashMap<>();
    private final Map<String, Long> firstCallAt = new HashMap<>();
    private final List<String> ends = new ArrayList<>();
    private final SimulatedStages stages = new SimulatedStages(time, limits, Map.of());
    private final SingleNodeBatches batches;

    StageRunTest() {
        for (String pool : POOLS) {
            limits.put(pool, call(pool.equals("long") ? 400 : 100));
            directory.accept(
                    new UpstreamRecord(
                            pool,
                            0,
                            pool,
                            "10.0.0." + limits.size() + ":1",
                            "d",
                            UpstreamPhase.READY,
                            1,
                            1,
                            0,
                            0,
                            SoftwareVersion.UNSTATED),
                    0);
        }
        batches = new SingleNodeBatches(time, directory, stages, limits);
    }

    @AfterEach
    void close() {
        batches.close();
    }

    /**
     * A chain of three calls of 100 ms takes at least 300 ms. A stage of 400 ms next to it starts immediately. One of
     * 100 ms starts later, so that its result does not occupy the memory of its producer in the meantime, but early
     * enough not to delay the request, whichever of the two is checked first. The end of the stages is reported once.
     */
    @Test
    void stageNextToALongerChainStartsLateButInTime() {
        StageRun run = new StageRun(request(), Optional.empty(), 0, batches.service(), time, new EndRecorder());
        run.start();
        for (int millis = 0; millis < 1000; millis++) {
            time.advance(MILLI);
            for (String pool : POOLS) {
                if (stages.calls(pool) > 0) {
                    firstCallAt.putIfAbsent(pool, (long) millis);
                }
            }
        }
        assertThat(firstCallAt.get("long")).isLessThan(5);
        assertThat(firstCallAt.get("short")).isBetween(100L, 350L);
        assertThat(ends).containsExactly("done");
        run.releaseAll();
    }

    private static BatchLimits call(long millis) {
        return new BatchLimits(1, 2, 10, millis * MILLI, 0, 5_000_000, 4000 * MILLI, 1_250_000_000L);
    }

    private AdmittedRequest request() {
        Route route = TestRoutes.route(
                "r",
                "h",
                "/",
                RouteKind.STREAM,
                List.of(new WeightedPool("p", 1)),
                List.of(
                        new RouteStage("short", List.of(), 10),
                        new RouteStage("long", List.of(), 10),
                        new RouteStage("a", List.of(), 10),
                        new RouteStage("b", List.of(2), 10),
                        new RouteStage("c", List.of(3), 10)));
        List<UpstreamPool> pools = new ArrayList<>(List.of(TestRoutes.pool("p")));
        limits.forEach((name, each) ->
                pools.add(new UpstreamPool(name, 10, Optional.of(each), OptionalInt.empty(), Optional.empty())));
        RouteTable table = TestRoutes.table(1, List.of(route), pools);
        GatewayRequest request = TestRequests.request("id", OptionalLong.of(20_000), List.of(), List.of(1, 1, 1, 1, 1));
        RequestTimes times = RequestTimes.of(route, request.deadlineMillis(), 0, 0, 0);
        return new AdmittedRequest(request, table, route, Optional.empty(), "p", times);
    }

    /** Records how the stages end. */
    private final class EndRecorder implements StageRun.Listener {
        @Override
        public void onStagesDone() {
            ends.add("done");
        }

        @Override
        public void onMissed(int stage, MissReason reason) {
            ends.add("missed " + stage);
        }
    }
}
