package org.copperspindle.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.route.Route;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StartControllerTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final Route URGENT = TestStarts.route("urgent", 0, 2000, 12_000, "p");
    private static final Route DEFERRABLE = TestStarts.route("deferrable", 1, 4000, 6000, "p");

    private final BusyTimers timers = new BusyTimers();
    private final CostlyPolicy policy = new CostlyPolicy();
    private final List<StartDecision> decisions = new ArrayList<>();
    private final StartController controller = controller(policy.of("p"));

    /**
     * A queue that grows makes each round of decisions longer, and the node that decides dispatches calls as well.
     * Guards against a node that does nothing but decide, whatever a round costs.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 10, 60, 300})
    void decisionsTakeAFifthOfTheTimeAtMost(long roundMillis) {
        policy.roundNanos = roundMillis * MILLI;
        long end = 10 * SECOND;
        for (long id = 0; timers.now < end; id++) {
            controller.add(request(id));
            timers.advance(4 * MILLI);
        }
        assertThat(policy.rounds * policy.roundNanos).isLessThanOrEqualTo(timers.now / 5 + policy.roundNanos);
        assertThat(policy.rounds).isPositive();
    }

    /** Guards against requests that are never decided because the time for decisions is used up. */
    @Test
    void waitingRequestsAreDecidedWhenThereIsTimeAgain() {
        policy.roundNanos = 60 * MILLI;
        controller.add(request(1));
        policy.starts = true;
        controller.add(request(2));
        assertThat(decisions).isEmpty();
        timers.advance(5 * 60 * MILLI);
        assertThat(decisions).hasSize(2);
    }

    /**
     * A flood of requests that can wait has filled the queue. Guards against urgent requests that the controller turns
     * away because of them: their nodes would wait in vain for a response and then decide alone.
     */
    @Test
    void floodLeavesRoomForUrgentRequests() {
        PoolLoad full = new PoolLoad(700 * MILLI, 100, 0);
        long[] clock = {0};
        StartPolicy plain = policy.of("p");
        StartController flooded = controller(new StartPolicy(
                () -> StartQueues.create(new SplittableRandom(1)),
                () -> TestStarts.forecast(pool -> full, clock),
                plain.groups(),
                plain.shortages(),
                plain.weights()));
        for (long id = 0; id < StartQueue.MAX_WAITING + 100; id++) {
            assertThat(flooded.add(request(id, DEFERRABLE, true))).isTrue();
        }
        assertThat(flooded.add(request(10_000, URGENT, false))).isTrue();
        assertThat(flooded.waitingCount(URGENT.priority())).isEqualTo(1);
        assertThat(flooded.waitingCount()).isEqualTo(StartQueue.MAX_WAITING);
        assertThat(decisions)
                .hasSize(101)
                .allMatch(decision -> decision instanceof StartDecision.Refuse
                        && decision.request().request().route() == DEFERRABLE);
    }

    private StartController controller(StartPolicy decidedBy) {
        return new StartController(
                decidedBy, timers, new RecordingResponder(), new StartCounters(), new LogRateLimiter(9, 9));
    }

    private static StartRequest request(long id) {
        return request(id, URGENT, false);
    }

    private static StartRequest request(long id, Route route, boolean retried) {
        return new StartRequest("n", id, TestStarts.request(route, "a", retried, 0), 1);
    }

    /** Decisions that take time. */
    private final class CostlyPolicy {
        private final FakeStartPolicy fake = new FakeStartPolicy();
        private boolean starts;
        private long roundNanos;
        private long rounds;

        private StartPolicy of(String group) {
            StartPolicy plain = fake.of(group);
            return new StartPolicy(
                    CostlyQueue::new, plain.forecasts(), plain.groups(), plain.shortages(), plain.weights());
        }

        private final class CostlyQueue implements StartQueue {
            @Override
            public void add(StartRequest request, long now) {
                fake.add(request, now);
            }

            @Override
            public void cancel(String node, long id) {
                fake.cancel(node, id);
            }

            @Override
            public void forget(String node) {
                fake.forget(node);
            }

            @Override
            public List<StartDecision> decide(StartForecast forecast, long now) {
                rounds++;
                timers.now += roundNanos;
                fake.starts = starts;
                return fake.decide(forecast, now);
            }

            @Override
            public int size() {
                return fake.size();
            }
        }
    }

    /** Time that passes while tasks run as well. */
    private static final class BusyTimers implements TimerService {
        private final TreeMap<Long, Runnable> tasks = new TreeMap<>();
        private long now;

        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public TimerSubscription schedule(long delayNanos, Runnable task) {
            long at = now + Math.max(0, delayNanos);
            while (tasks.containsKey(at)) {
                at++;
            }
            long key = at;
            tasks.put(key, task);
            return () -> tasks.remove(key);
        }

        private void advance(long nanos) {
            long end = now + nanos;
            while (true) {
                Optional<Map.Entry<Long, Runnable>> next =
                        Optional.ofNullable(tasks.firstEntry()).filter(e -> e.getKey() <= Math.max(end, now));
                if (next.isEmpty()) {
                    now = Math.max(now, end);
                    return;
                }
                tasks.remove(next.get().getKey());
                now = Math.max(now, next.get().getKey());
                next.get().getValue().run();
            }
        }
    }

    private final class RecordingResponder implements StartController.Responder {
        @Override
        public void queued(String node, long id) {
            // Only decisions count.
        }

        @Override
        public void decided(StartDecision decision) {
            decisions.add(decision);
        }
    }
}
