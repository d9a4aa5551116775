package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.StageAdmission;
import org.copperspindle.admission.StageAdmissionVerdict;
import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.WeightedPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Descriptions are more urgent than tags; their objective is 1 s, that of tags is 3 s. Calls of both pools take 240
 * ms plus 5 ms per piece, full calls 440 ms.
 */
class UrgentRequestKindsTest {

    private static final long MILLI = 1_000_000L;

    private final Map<String, Long> waitMillis = new HashMap<>();
    private final StageAdmission admission = new StageAdmission(
            pool -> new PoolLoad(waitMillis.getOrDefault(pool, 0L) * MILLI, 400, 0), new FirstEventLatencies());

    /**
     * Guards against descriptions that are refused while tags are admitted. At a wait of 440 ms the next description
     * has 20 ms to spare, less than a tenth of a call: it starts, and tags must leave it the capacity, though they
     * have 2 s to spare.
     */
    @ParameterizedTest
    @CsvSource({"100, BEGIN, BEGIN", "400, BEGIN, BEGIN", "440, HOLD, BEGIN", "600, HOLD, HOLD"})
    void lessUrgentKindLeavesCapacityInASharedPool(
            long wait, StageAdmissionVerdict tag, StageAdmissionVerdict description) {
        waitMillis.put("shared", wait);
        admission.decide(request("description", 1, 1000, 0, "shared"), false, 0);
        assertThat(admission
                        .decide(request("tag", 2, 3000, 0, "shared"), false, 0)
                        .verdict())
                .isEqualTo(tag);
        assertThat(admission
                        .decide(request("description", 1, 1000, 0, "shared"), false, 0)
                        .verdict())
                .isEqualTo(description);
    }

    /** Descriptions wait for another pool: if tags were not admitted, capacity would stay unused. */
    @Test
    void capacityOfPoolsThatTheUrgentKindDoesNotWaitForIsUsed() {
        waitMillis.put("own", 900L);
        waitMillis.put("shared", 100L);
        admission.decide(request("description", 1, 1000, 0, "shared", "own"), false, 0);
        assertThat(admission
                        .decide(request("tag", 2, 3000, 0, "shared"), false, 0)
                        .verdict())
                .isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /** Descriptions could not be in time even without queueing: capacity kept for them would serve no request. */
    @Test
    void noCapacityIsKeptForAKindThatIsLateAnyway() {
        waitMillis.put("shared", 600L);
        admission.decide(request("description", 1, 300, 0, "shared"), false, 0);
        assertThat(admission
                        .decide(request("tag", 2, 3000, 0, "shared"), false, 0)
                        .verdict())
                .isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /**
     * A preferred account sends a tag now and then. If capacity were kept for its next one, all descriptions would
     * wait for it: on a day without bursts 62 of 648 were refused that way.
     */
    @Test
    void preferredAccountKeepsNoCapacityFree() {
        waitMillis.put("shared", 600L);
        AdmittedRequest usual = request("tag", 2, 1000, 0, "shared");
        ClientAccount preferred = new ClientAccount("preferred", List.of("k"), OptionalInt.of(0));
        admission.decide(
                new AdmittedRequest(
                        usual.request(), usual.table(), usual.route(), Optional.of(preferred), "p", usual.times()),
                false,
                0);
        assertThat(admission
                        .decide(request("description", 1, 3000, 0, "shared"), false, 0)
                        .verdict())
                .isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /** The urgent kind has not been requested for a while: no capacity is kept for it. */
    @ParameterizedTest
    @CsvSource({"5000, HOLD", "5001, BEGIN"})
    void capacityIsKeptForRecentKindsOnly(long laterMillis, StageAdmissionVerdict verdict) {
        waitMillis.put("shared", 600L);
        admission.decide(request("description", 1, 1000, 0, "shared"), false, 0);
        long now = laterMillis * MILLI;
        assertThat(admission
                        .decide(request("tag", 2, 3000, now, "shared"), false, now)
                        .verdict())
                .isEqualTo(verdict);
    }

    private static AdmittedRequest request(String name, int rank, long objective, long now, String... pools) {
        List<RouteStage> stages = Arrays.stream(pools)
                .map(pool -> new RouteStage(pool, List.of(), 10))
                .toList();
        Route route = new Route(
                name,
                "h",
                "/",
                RouteKind.STREAM,
                Duration.ofSeconds(20),
                Duration.ofMillis(objective),
                rank,
                List.of(new WeightedPool("p", 1)),
                2,
                stages,
                true,
                false,
                Duration.ofMillis(300));
        RouteTable table = TestRoutes.table(
                1,
                List.of(route),
                List.of(TestRoutes.pool("p"), TestRoutes.stagePool("shared"), TestRoutes.stagePool("own")));
        List<Integer> pieces = stages.stream().map(stage -> 6).toList();
        GatewayRequest request = TestRequests.request("id", OptionalLong.of(20_000), List.of(), pieces);
        RequestTimes times = RequestTimes.of(route, request.deadlineMillis(), 0, 0, now);
        return new AdmittedRequest(request, table, route, Optional.empty(), "p", times);
    }
}
