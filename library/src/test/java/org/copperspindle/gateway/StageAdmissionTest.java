package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.StageAdmission;
import org.copperspindle.admission.StageAdmissionDecision;
import org.copperspindle.admission.StageAdmissionVerdict;
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
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StageAdmissionTest {

    private static final long MILLI = 1_000_000L;

    private static final double PIECES_PER_SECOND = 400;

    private static final List<Integer> PIECES = List.of(6, 6);

    private static final Route ROUTE = TestRoutes.route(
            "r",
            "h",
            "/",
            RouteKind.STREAM,
            List.of(new WeightedPool("p", 1)),
            List.of(new RouteStage("s1", List.of(), 10), new RouteStage("s2", List.of(0), 10)));

    private long waitMillis;
    private long expectedPieces;
    private final StageAdmission admission = new StageAdmission(this::load, new FirstEventLatencies());

    /**
     * A route of two stages with an objective of 2 s, whose shortest run takes 720 ms. The pools report longer and
     * longer waits as a burst fills them; the caller comes for the first time or has waited before.
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
    void startsRequestsInTimeAndDefersOrRefusesOthers(
            long wait, long waitedMillis, long deadlineMillis, StageAdmissionVerdict verdict) {
        waitMillis = wait;
        assertThat(admission
                        .decide(request(waitedMillis, deadlineMillis), false, 0)
                        .verdict())
                .isEqualTo(verdict);
    }

    /**
     * A burst fills the pools for seconds. A caller that comes for the first time is refused after a quarter of its
     * objective, rather than after seconds; one that has come back stays deferred, since it would otherwise have
     * waited twice in vain.
     */
    @ParameterizedTest
    @CsvSource({"0, 499, HOLD", "0, 500, REFUSE", "1500, 500, HOLD", "1500, 5900, REFUSE"})
    void refusesFirstAttemptsSoonAndDefersRetries(
            long waitedMillis, long deferredMillis, StageAdmissionVerdict verdict) {
        waitMillis = 5000;
        assertThat(admission
                        .decide(request(waitedMillis, 20_000), true, deferredMillis * MILLI)
                        .verdict())
                .isEqualTo(verdict);
    }

    /**
     * A caller has come back, and its stream takes two seconds after its first event. Started so late that the caller
     * leaves during the stream, the request would use pools and an engine in a burst for nothing; deferred until
     * then, the caller would get no response.
     */
    @ParameterizedTest
    @CsvSource({"0, 4000, BEGIN", "0, 2600, REFUSE", "1600, 8000, HOLD", "1600, 4000, REFUSE"})
    void startsNothingThatEndsAfterItsCallerLeaves(long wait, long deadlineMillis, StageAdmissionVerdict verdict) {
        waitMillis = wait;
        AdmittedRequest request = request(5000, deadlineMillis, 2000 * MILLI, 0);
        assertThat(admission.decide(request, false, 0).verdict()).isEqualTo(verdict);
    }

    /**
     * A caller has read a stream for seconds and takes it up: counted as if it had waited all that time, it would be refused
     * under loads at which other streams begin.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 600, 1200, 1600})
    void streamThatIsTakenUpStartsLikeOneThatBegins(long wait) {
        waitMillis = wait;
        StageAdmissionVerdict begun =
                admission.decide(request(0, 20_000), false, 0).verdict();
        StageAdmission other = new StageAdmission(this::load, new FirstEventLatencies());
        assertThat(other.decide(takingUp(6000), false, 0).verdict()).isEqualTo(begun);
        assertThat(takingUp(6000).retried()).as("has come back").isTrue();
    }

    /** The rest of a stream could not end before its caller leaves: it would take the room of others for nothing. */
    @ParameterizedTest
    @CsvSource({"0, 6000, BEGIN", "1600, 3000, REFUSE"})
    void streamThatIsTakenUpTooLateIsRefused(long wait, long deadlineMillis, StageAdmissionVerdict verdict) {
        waitMillis = wait;
        assertThat(admission.decide(takingUp(deadlineMillis), false, 0).verdict())
                .isEqualTo(verdict);
    }

    /**
     * Under a lasting load pools are never idle: the longer a request was deferred, the longer the waits at which it
     * may start.
     */
    @ParameterizedTest
    @CsvSource({"0, HOLD", "1000, HOLD", "3000, BEGIN"})
    void deferredRequestStartsAtLongerWaitsOverTime(long deferredMillis, StageAdmissionVerdict verdict) {
        waitMillis = 140;
        assertThat(admission
                        .decide(request(5000, 20_000), true, deferredMillis * MILLI)
                        .verdict())
                .isEqualTo(verdict);
    }

    /**
     * Requests in their first stage will fill the pool of the second one, whose queue is still empty when the next
     * request comes.
     */
    @Test
    void countsExpectedPiecesOfEarlierRequests() {
        AdmittedRequest request = request(0, 20_000);
        assertThat(admission.decide(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        expectedPieces = 960;
        assertThat(admission.decide(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
        expectedPieces = 0;
        assertThat(admission.decide(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /** A burst is over while many requests are deferred: they start one after the other. */
    @Test
    void deferredRequestsStartOneAtATime() {
        AdmittedRequest late = request(5000, 20_000);
        admission.adjustDeferred(2);
        assertThat(admission.decide(late, true, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        assertThat(admission.decide(late, true, 241 * MILLI).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
        assertThat(admission.decide(late, true, 242 * MILLI).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        assertThat(admission.decide(late, false, 400 * MILLI).verdict())
                .as("not before the deferred ones")
                .isEqualTo(StageAdmissionVerdict.HOLD);
    }

    /**
     * Stages take longer than the loads of their pools explain. Requests that could just be in time by the loads
     * would be late: they are not started until the stages take as long as estimated again.
     */
    @Test
    void learnsStageOverruns() {
        waitMillis = 740;
        AdmittedRequest request = request(0, 20_000);
        StageAdmissionDecision decision = admission.decide(request, false, 0);
        assertThat(decision.verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
        for (int i = 0; i < 30; i++) {
            admission.recordStages(
                    request.route(), decision.estimatedStagesNanos(), decision.estimatedStagesNanos() + 400 * MILLI, 0);
        }
        assertThat(admission.decide(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
        for (int i = 0; i < 30; i++) {
            admission.recordStages(
                    request.route(), decision.estimatedStagesNanos(), decision.estimatedStagesNanos(), 0);
        }
        assertThat(admission.decide(request, false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    /**
     * A node was paused while requests ran, so their stages seemed to take long. Its callers would be refused for as
     * long as the load lasts: the pools are not idle, and nothing runs that could correct the overrun. It expires
     * after five seconds.
     */
    @ParameterizedTest
    @CsvSource({"5000, HOLD", "5001, BEGIN"})
    void overrunExpiresWhenNothingRuns(long laterMillis, StageAdmissionVerdict verdict) {
        waitMillis = 740;
        AdmittedRequest request = request(0, 20_000);
        long estimatedNanos = admission.decide(request, false, 0).estimatedStagesNanos();
        for (int i = 0; i < 30; i++) {
            admission.recordStages(request.route(), estimatedNanos, estimatedNanos + 8000 * MILLI, 0);
        }
        long now = laterMillis * MILLI;
        assertThat(admission.decide(request(0, 20_000, now), false, now).verdict())
                .isEqualTo(verdict);
    }

    /**
     * During a fault the stages took so long that no request seems able to be in time. The fault is over. If nothing
     * started, nothing could be learned and everything would be refused for ever: while the pools are idle, requests
     * start.
     */
    @Test
    void idlePoolsGetRequestsDespiteOverruns() {
        AdmittedRequest request = request(0, 20_000);
        long estimatedNanos = admission.decide(request, false, 0).estimatedStagesNanos();
        for (int i = 0; i < 100; i++) {
            admission.recordStages(request.route(), estimatedNanos, estimatedNanos + 60_000 * MILLI, 0);
        }
        assertThat(admission.decide(request(1500, 20_000), false, 0).verdict()).isEqualTo(StageAdmissionVerdict.BEGIN);
    }

    @Test
    void refusesBeyondMaximumOfDeferredRequests() {
        waitMillis = 1600;
        admission.adjustDeferred(32);
        assertThat(admission.decide(request(0, 20_000), false, 0).verdict()).isEqualTo(StageAdmissionVerdict.REFUSE);
        assertThat(admission.decide(request(0, 20_000), true, 0).verdict()).isEqualTo(StageAdmissionVerdict.HOLD);
    }

    private PoolLoad load(String pool) {
        return new PoolLoad(waitMillis * MILLI, PIECES_PER_SECOND, pool.equals("s2") ? expectedPieces : 0);
    }

    private static AdmittedRequest request(long waitedMillis, long deadlineMillis) {
        return request(waitedMillis, deadlineMillis, 0);
    }

    private static AdmittedRequest request(long waitedMillis, long deadlineMillis, long now) {
        return request(waitedMillis, deadlineMillis, 0, now);
    }

    private static AdmittedRequest request(long waitedMillis, long deadlineMillis, long streamNanos, long now) {
        GatewayRequest request = TestRequests.request("id", OptionalLong.of(deadlineMillis), List.of(), PIECES);
        return admitted(request, RequestTimes.of(ROUTE, request.deadlineMillis(), waitedMillis, streamNanos, now));
    }

    private static AdmittedRequest takingUp(long deadlineMillis) {
        GatewayRequest request = TestRequests.takingUp("id", OptionalLong.of(deadlineMillis), PIECES);
        return admitted(request, RequestTimes.of(ROUTE, request, 9000, 2000 * MILLI, 0));
    }

    private static AdmittedRequest admitted(GatewayRequest request, RequestTimes times) {
        RouteTable table = TestRoutes.table(
                1,
                List.of(ROUTE),
                List.of(TestRoutes.pool("p"), TestRoutes.stagePool("s1"), TestRoutes.stagePool("s2")));
        return new AdmittedRequest(request, table, ROUTE, Optional.empty(), "p", times);
    }
}
