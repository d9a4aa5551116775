package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.batch.PoolLoad;
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

class StageAdmissionTest {

    private static final long MILLI = 1_000_000L;

    private static final double PIECES_PER_SECOND = 400;

    private long waitMillis;
    private long promised;
    private final StageAdmission gate = new StageAdmission(this::load, new FirstEventLatencies());

    /**
     * A route of two stages with an objective of 2 s, whose shortest run takes 720 ms. The pools tell of longer and longer
     * waits, as a burst fills them; a caller has waited already or not.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 20000, BEGIN",
        "600, 0, 20000, BEGIN",
        "1600, 0, 20000, HOLD",
        "0, 1500, 20000, BEGIN",
        "300, 1500, 20000, HOLD",
        "1600, 1500, 2100, REFUSE",
        "1900, 1500, 600, REFUSE"
    })
    void beginsWhatCanBeOnTimeAndHoldsOrRefusesTheRest(
            long wait, long waitedMillis, long deadlineMillis, StageAdmissionVerdict verdict) {
        waitMillis = wait;
        assertThat(gate.judge(request(waitedMillis, deadlineMillis), false, 0).verdict())
                .isEqualTo(verdict);
    }

    /**
     * A burst fills the pools for seconds. A caller that comes for the first time hears after a quarter of its objective
     * that there is no room, rather than after seconds; one that has come back is held on, since it would else have waited
     * twice for nothing.
     */
    @ParameterizedTest
    @CsvSource({"0, 499, HOLD", "0, 500, REFUSE", "1500, 500, HOLD", "1500, 5900, REFUSE"})
    void tellsFirstComersSoonAndHoldsThoseThatCameBack(
            long waitedMillis, long heldMillis, StageAdmissionVerdict verdict) {
        waitMillis = 5000;
        assertThat(gate.judge(request(waitedMillis, 20_000), true, heldMillis * MILLI)
                        .verdict())
                .isEqualTo(verdict);
    }

    /**
     * A caller has come back, and its stream takes two seconds after its first event. Begun so late that the caller leaves in its
     * middle, it would use up pools and an engine in a burst, for nobody; held until then, the caller would hear nothing.
     */
    @ParameterizedTest
    @CsvSource({"0, 4000, BEGIN", "0, 2600, REFUSE", "1600, 8000, HOLD", "1600, 4000, REFUSE"})
    void beginsNothingThatItsCallerWouldNotSeeTheEndOf(long wait, long deadlineMillis, StageAdmissionVerdict verdict) {
        waitMillis = wait;
        AdmittedRequest request = request(5000, deadlineMillis, 2000 * MILLI, 0);
        assertThat(gate.judge(request, false, 0).verdict()).isEqualTo(verdict);
    }

    /** In a load that lasts, pools are never idle: the longer a caller was held, the longer the waits it may begin at. */
    @ParameterizedTest
    @CsvSource({"0, HOLD", "1000, HOLD", "3000, BEGIN"})
    void heldRequestBeginsAtLongerWaitsInTime(long heldMillis, StageAdmissionVerdict verdict) {
        waitMillis = 140;
        assertThat(gate.judge(request(5000, 20_000), true, heldMillis * MILLI).verdict())
                .isEqualTo(verdict);
    }

    /** Requests in their first stage will fill the pool of the second: its queue is still empty when the next one comes. */
    @Test
    void countsWhatRequestsBeforeItWillSend() {
        AdmittedRequest request = request(0, 20_000);
        assertThat(gate.judge(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        promised = 960;
        assertThat(gate.judge(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
        promised = 0;
        assertThat(gate.judge(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /** A burst is over and many requests are held at once: they begin one after the other. */
    @Test
    void heldRequestsBeginOneAtATime() {
        AdmittedRequest late = request(5000, 20_000);
        gate.held(2);
        assertThat(gate.judge(late, true, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        assertThat(gate.judge(late, true, 241 * MILLI).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
        assertThat(gate.judge(late, true, 242 * MILLI).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        assertThat(gate.judge(late, false, 400 * MILLI).verdict())
                .as("not before those held")
                .isEqualTo(StageAdmissionVerdict.HOLD);
    }

    /**
     * Stages take longer than the loads of their pools tell, for a reason that loads don't show. Requests that could just
     * be on time by the loads would be late: they are sent away until stages take as long as reckoned again.
     */
    @Test
    void learnsThatStagesTakeLonger() {
        waitMillis = 740;
        AdmittedRequest request = request(0, 20_000);
        StageAdmissionDecision judgement = gate.judge(request, false, 0);
        assertThat(judgement.verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        for (int i = 0; i < 30; i++) {
            gate.ran(request.route(), judgement.reckonedNanos(), judgement.reckonedNanos() + 400 * MILLI, 0);
        }
        assertThat(gate.judge(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
        for (int i = 0; i < 30; i++) {
            gate.ran(request.route(), judgement.reckonedNanos(), judgement.reckonedNanos(), 0);
        }
        assertThat(gate.judge(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /**
     * A node stood still while requests ran, and their stages seemed to take long. Its callers would be refused for as long as
     * the load lasts: pools are not idle, and nothing runs that could show better. After five seconds it is forgotten.
     */
    @ParameterizedTest
    @CsvSource({"5000, HOLD", "5001, BEGIN"})
    void forgetsWhatWasLearnedOnceNothingRuns(long laterMillis, StageAdmissionVerdict verdict) {
        waitMillis = 740;
        AdmittedRequest request = request(0, 20_000);
        long reckoned = gate.judge(request, false, 0).reckonedNanos();
        for (int i = 0; i < 30; i++) {
            gate.ran(request.route(), reckoned, reckoned + 8000 * MILLI, 0);
        }
        long now = laterMillis * MILLI;
        assertThat(gate.judge(request(0, 20_000, now), false, now).verdict()).isEqualTo(verdict);
    }

    /**
     * A fault made stages take so long that no request looks as if it could be on time, and it is over. Were nothing begun,
     * nothing would be learned, and everything refused for ever: while pools are idle, requests begin.
     */
    @Test
    void idlePoolsGetRequestsWhateverWasLearned() {
        AdmittedRequest request = request(0, 20_000);
        long reckoned = gate.judge(request, false, 0).reckonedNanos();
        for (int i = 0; i < 100; i++) {
            gate.ran(request.route(), reckoned, reckoned + 60_000 * MILLI, 0);
        }
        assertThat(gate.judge(request(1500, 20_000), false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    @Test
    void refusesBeyondTheMostThatAreHeld() {
        waitMillis = 1600;
        gate.held(32);
        assertThat(gate.judge(request(0, 20_000), false, 0).verdict()).isEqualTo(StageAdmissionVerdict.REFUSE);
        assertThat(gate.judge(request(0, 20_000), true, 0).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
    }

    private PoolLoad load(String pool) {
        return new PoolLoad(waitMillis * MILLI, PIECES_PER_SECOND, pool.equals("s2") ? promised : 0);
    }

    private static AdmittedRequest request(long waitedMillis, long deadlineMillis) {
        return request(waitedMillis, deadlineMillis, 0);
    }

    private static AdmittedRequest request(long waitedMillis, long deadlineMillis, long now) {
        return request(waitedMillis, deadlineMillis, 0, now);
    }

    private static AdmittedRequest request(long waitedMillis, long deadlineMillis, long streamNanos, long now) {
        Route route = TestRoutes.route(
                "r",
                "h",
                "/",
                RouteKind.STREAM,
                List.of(new WeightedPool("p", 1)),
                List.of(new RouteStage("s1", List.of(), 10), new RouteStage("s2", List.of(0), 10)));
        RouteTable table = TestRoutes.table(
                1,
                List.of(route),
                List.of(TestRoutes.pool("p"), TestRoutes.stagePool("s1"), TestRoutes.stagePool("s2")));
        GatewayRequest request = TestRequests.request("id", OptionalLong.of(deadlineMillis), List.of(), List.of(6, 6));
        RequestTimes times = RequestTimes.of(route, request.deadlineMillis(), waitedMillis, streamNanos, now);
        return new AdmittedRequest(request, table, route, Optional.empty(), "p", times);
    }
}
