package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

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
 * Descriptions are more urgent than tags, and have an objective of 1 s where tags have 3 s. Calls of both pools take 240 ms
 * and 5 ms a piece, full ones 440 ms.
 */
class UrgentRoomTest {

    private static final long MILLI = 1_000_000L;

    private final Map<String, Long> waitMillis = new HashMap<>();
    private final StageAdmission gate = new StageAdmission(
            pool -> new PoolLoad(waitMillis.getOrDefault(pool, 0L) * MILLI, 400, 0), new FirstEventLatencies());

    /**
     * Callers of descriptions were refused while tags were let in. At a wait of 440 ms the next description has 20 ms to spare,
     * less than a tenth of a call: it begins, and tags must leave it the room, though they have 2 s to spare.
     */
    @ParameterizedTest
    @CsvSource({"100, BEGIN, BEGIN", "400, BEGIN, BEGIN", "440, HOLD, BEGIN", "600, HOLD, HOLD"})
    void lessUrgentKindLeavesRoomInASharedPool(
            long wait, StageAdmissionVerdict tag, StageAdmissionVerdict description) {
        waitMillis.put("shared", wait);
        gate.judge(request("description", 1, 1000, 0, "shared"), false, 0);
        assertThat(gate.judge(request("tag", 2, 3000, 0, "shared"), false, 0).verdict())
                .isEqualTo(tag);
        assertThat(gate.judge(request("description", 1, 1000, 0, "shared"), false, 0)
                        .verdict())
                .isEqualTo(description);
    }

    /** Refused, the less urgent kind would leave room that nobody can use: descriptions wait for another pool. */
    @Test
    void roomInAPoolThatTheUrgentKindDoesNotWaitForIsUsed() {
        waitMillis.put("own", 900L);
        waitMillis.put("shared", 100L);
        gate.judge(request("description", 1, 1000, 0, "shared", "own"), false, 0);
        assertThat(gate.judge(request("tag", 2, 3000, 0, "shared"), false, 0).verdict())
                .isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /** Descriptions could not be in time if nothing waited: room that is kept for them would serve nobody. */
    @Test
    void noRoomIsKeptForAKindThatIsLateAnyway() {
        waitMillis.put("shared", 600L);
        gate.judge(request("description", 1, 300, 0, "shared"), false, 0);
        assertThat(gate.judge(request("tag", 2, 3000, 0, "shared"), false, 0).verdict())
                .isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /**
     * A preferred account sends a tag now and then. Were room kept for its next one, all descriptions would wait for it: on a
     * calm day 62 of 648 were refused so.
     */
    @Test
    void preferredAccountKeepsNoRoomFree() {
        waitMillis.put("shared", 600L);
        AdmittedRequest usual = request("tag", 2, 1000, 0, "shared");
        ClientAccount preferred = new ClientAccount("preferred", List.of("k"), OptionalInt.of(0));
        gate.judge(
                new AdmittedRequest(
                        usual.request(), usual.table(), usual.route(), Optional.of(preferred), "p", usual.times()),
                false,
                0);
        assertThat(gate.judge(request("description", 1, 3000, 0, "shared"), false, 0)
                        .verdict())
                .isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /** Nobody has asked for the urgent kind for a while: no room is kept for it. */
    @ParameterizedTest
    @CsvSource({"5000, HOLD", "5001, BEGIN"})
    void roomIsKeptForWhatIsAskedFor(long laterMillis, StageAdmissionVerdict verdict) {
        waitMillis.put("shared", 600L);
        gate.judge(request("description", 1, 1000, 0, "shared"), false, 0);
        long now = laterMillis * MILLI;
        assertThat(gate.judge(request("tag", 2, 3000, now, "shared"), false, now)
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
