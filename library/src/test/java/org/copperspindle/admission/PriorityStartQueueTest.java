package org.copperspindle.admission;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** The pool makes 100 pieces a second, so a request with four pieces costs 40 ms; its shortest run takes 400 ms. */
class PriorityStartQueueTest {

    private static final long MILLI = TestStarts.MILLI;
    private static final double PIECES_PER_SECOND = 100;

    /** Longer than requests wait for before they start, shorter than their slack. */
    private static final long FULL_MILLIS = 700;

    private static final Route URGENT = TestStarts.route("urgent", 0, 2000, 12_000, "p");
    private static final Route DEFERRABLE = TestStarts.route("deferrable", 1, 4000, 6000, "p");

    private final StartQueue queue = StartQueues.create(new SplittableRandom(1));
    private final long[] clock = {0};
    private long waitMillis = FULL_MILLIS;
    private final LoadForecast forecast =
            TestStarts.forecast(pool -> new PoolLoad(waitMillis * MILLI, PIECES_PER_SECOND, 0), clock);
    private long lastId;

    @Test
    void startsAtOnceWhileThePoolHasCapacity() {
        waitMillis = 0;
        add(DEFERRABLE, "a", false);
        assertThat(decide()).singleElement().isInstanceOf(StartDecision.Start.class);
        assertThat(queue.size()).isZero();
    }

    /** Labels with two seconds more than notes filled the pools, and notes were refused. */
    @Test
    void urgentGoesFirstAndDeferrableWaits() {
        add(DEFERRABLE, "a", false);
        assertThat(decide()).isEmpty();
        add(URGENT, "a", false);
        assertThat(decide()).isEmpty();
        waitMillis = 0;
        assertThat(startedRoutes(decide())).containsExactly("urgent", "deferrable");
    }

    /** A less urgent request that has the time to wait must not be refused because urgent ones are before it. */
    @Test
    void deferrableWaitsForUrgentRequests() {
        IntStream.range(0, 20).forEach(i -> add(URGENT, "a", false));
        add(DEFERRABLE, "a", false);
        List<StartDecision> decisions = decide();
        assertThat(decisions).allMatch(decision -> decision.request().request().route() == URGENT);
        assertThat(queue.size()).isGreaterThan(1);
    }

    /** While urgent requests come all the time, the less urgent ones still get an eighth of their work. */
    @Test
    void lessUrgentRankGetsAnEighth() {
        long urgentStarts = 0;
        long otherStarts = 0;
        for (int i = 0; i < 400; i++) {
            for (int each = 0; each < 4; each++) {
                add(URGENT, "a", false);
                add(DEFERRABLE, "a", false);
            }
            waitMillis = 420;
            clock[0] += 200 * MILLI;
            for (String route : startedRoutes(decide())) {
                urgentStarts += route.equals("urgent") ? 1 : 0;
                otherStarts += route.equals("urgent") ? 0 : 1;
            }
        }
        assertThat((double) otherStarts / urgentStarts).isBetween(0.09, 0.16);
    }

    /** Callers that can't be served must learn it before they have waited for nothing. */
    @ParameterizedTest
    @CsvSource({"0, 0, true", "0, 1700, false", "700, 0, true", "1500, 0, false", "700, 1000, false"})
    void refusesAtOnceWhatCannotBeOnTime(long wait, long waitedMillis, boolean accepted) {
        waitMillis = wait;
        clock[0] = waitedMillis * MILLI;
        queue.add(new StartRequest("n", 1, TestStarts.request(URGENT, "a", false, 0), 1), clock[0]);
        List<StartDecision> decisions = decide();
        // A late first attempt starts if the pool is idle.
        boolean refused = decisions.stream().anyMatch(StartDecision.Refuse.class::isInstance);
        assertThat(refused).isEqualTo(!accepted && wait > 0);
    }

    /** The refused caller returns within its time, and not at once. */
    @Test
    void refusalsOfWorkAheadAreBookedForRetry() {
        IntStream.range(0, 60).forEach(i -> add(URGENT, "a", false));
        List<StartDecision> decisions = decide();
        assertThat(decisions).hasSizeBetween(30, 50).allSatisfy(decision -> {
            long delay = ((StartDecision.Refuse) decision).retryAfter().toMillis();
            assertThat(delay).isBetween(3000L, 4000L);
        });
        assertThat(decide()).isEmpty();
    }

    /** The requests of one account must not make those of another account wait or fail. */
    @Test
    void accountUnderItsShareIsNotRefusedForAnother() {
        IntStream.range(0, 200).forEach(i -> add(URGENT, "flood", false));
        add(URGENT, "small", false);
        assertThat(decide())
                .allMatch(decision -> decision.request().request().accountName().equals("flood"));
        waitMillis = 0;
        clock[0] += 20 * MILLI;
        assertThat(decide().stream().limit(2).map(d -> d.request().request().accountName()))
                .contains("small");
    }

    /** Late requests used the pieces for lack of which on-time requests were refused. */
    @Test
    void lateRequestsWaitForIdlePoolsAndForTimelyOnes() {
        StagedRequest late = TestStarts.request(DEFERRABLE, "a", true, 0);
        clock[0] = 3900 * MILLI;
        queue.add(new StartRequest("n", 1, late, 1), clock[0]);
        add(URGENT, "a", false);
        assertThat(decide()).isEmpty();
        waitMillis = 200;
        assertThat(startedRoutes(decide())).containsExactly("urgent");
        clock[0] += 200 * MILLI;
        waitMillis = 100;
        assertThat(startedRoutes(decide())).containsExactly("deferrable");
    }

    /** Under a lasting load pools are never idle, and a caller would be refused a second time after a long wait. */
    @ParameterizedTest
    @CsvSource({"0, false", "300, false", "400, true"})
    void lateRetryStartsAtABusierPoolTheLongerItHasWaited(long waitedMillis, boolean starts) {
        clock[0] = 3900 * MILLI;
        waitMillis = 180;
        queue.add(new StartRequest("n", 1, TestStarts.request(DEFERRABLE, "a", true, 0), 1), clock[0]);
        assertThat(decide()).isEmpty();
        clock[0] += waitedMillis * MILLI;
        assertThat(startedRoutes(decide()).contains("deferrable")).isEqualTo(starts);
    }

    /** A late retry that starts when its caller is about to leave is wasted. */
    @Test
    void lateRetryIsRefusedAfterItsLastUsefulStart() {
        clock[0] = 3900 * MILLI;
        queue.add(new StartRequest("n", 1, TestStarts.request(DEFERRABLE, "a", true, 0), 1), clock[0]);
        assertThat(decide()).isEmpty();
        clock[0] = 5300 * MILLI;
        assertThat(decide()).singleElement().isInstanceOf(StartDecision.Refuse.class);
    }

    /** A caller that was refused once must not be refused again for new requests of the same account. */
    @Test
    void retryGoesBeforeNewRequestsOfItsAccount() {
        add(URGENT, "a", false);
        add(URGENT, "a", true);
        decide();
        waitMillis = 0;
        assertThat(decide())
                .first()
                .matches(decision -> decision.request().request().retried());
    }

    /** Requests of callers that left and of lost nodes must not use capacity, and nothing starts twice. */
    @Test
    void cancelledForgottenAndReplacedRequestsDoNotStart() {
        StagedRequest request = TestStarts.request(URGENT, "a", false, 0);
        queue.add(new StartRequest("n", 1, request, 1), 0);
        queue.add(new StartRequest("n", 1, request, 1), 0);
        queue.add(new StartRequest("n", 2, request, 1), 0);
        queue.add(new StartRequest("lost", 1, request, 1), 0);
        decide();
        queue.add(new StartRequest("lost", 2, request, 1), 0);
        queue.cancel("n", 2);
        queue.cancel("unknown", 9);
        queue.forget("lost");
        assertThat(queue.size()).isEqualTo(1);
        waitMillis = 0;
        assertThat(decide()).singleElement().isInstanceOf(StartDecision.Start.class);
    }

    /** A flood must not use up the memory of the controller; what it sends beyond that is refused, not forgotten. */
    @Test
    void refusesBeyondItsMaximum() {
        IntStream.range(0, StartQueue.MAX_WAITING + 100).forEach(i -> add(DEFERRABLE, "flood", true));
        add(URGENT, "a", false);
        assertThat(decide())
                .hasSize(101)
                .allMatch(decision -> decision instanceof StartDecision.Refuse
                        && decision.request().request().route() == DEFERRABLE);
        assertThat(queue.size()).isEqualTo(StartQueue.MAX_WAITING);
    }

    /** A late retry that needs no pieces must not keep the controller in an endless round: no pool is busy with it. */
    @Test
    @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void lateRetryWithoutPiecesStartsAtOnce() {
        TestStarts.Staged request =
                new TestStarts.Staged(DEFERRABLE, List.of(0), "a", 0, 4000 * MILLI, 6000 * MILLI, true);
        clock[0] = 4100 * MILLI;
        queue.add(new StartRequest("n", 1, request, 1), clock[0]);
        assertThat(decide()).singleElement().isInstanceOf(StartDecision.Start.class);
    }

    /** A request whose own pool is idle must not wait for one that needs this pool and a full one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void startsAtAnIdlePoolBehindARequestForAFullPool(int rank) {
        LoadForecast uneven = TestStarts.forecast(
                pool -> new PoolLoad(pool.equals("full") ? FULL_MILLIS * MILLI : 0, PIECES_PER_SECOND, 0), clock);
        add(TestStarts.route("both", 0, 4000, 12_000, "full", "idle"), "a", false);
        assertThat(queue.decide(uneven, clock[0])).isEmpty();
        add(TestStarts.route("one", rank, 4000, 12_000, "idle"), "b", false);
        assertThat(startedRoutes(queue.decide(uneven, clock[0]))).containsExactly("one");
    }

    private void add(Route route, String account, boolean retried) {
        queue.add(
                new StartRequest("n", 100 + ++lastId, TestStarts.request(route, account, retried, clock[0]), 1),
                clock[0]);
    }

    private List<StartDecision> decide() {
        return queue.decide(forecast, clock[0]);
    }

    private static List<String> startedRoutes(List<StartDecision> decisions) {
        return decisions.stream()
                .filter(StartDecision.Start.class::isInstance)
                .map(decision -> decision.request().request().route().name())
                .toList();
    }
}
