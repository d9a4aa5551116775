package org.copperspindle.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.pipeline.PipelineRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class FairQueueTest {

    private static final PipelineSettings PIPELINE =
            new PipelineSettings("p", Duration.ofSeconds(6), Priority.STANDARD, List.of(), false);

    private int nextId;

    /**
     * One account sends ten times as many requests as others with the same weight. If the queue were served by age,
     * the others would wait behind the flood and miss their deadlines; instead each backlogged account gets the same
     * service within a tenth.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void equalAccountsGetEqualServiceUnderAFlood(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FairQueue queue = new FairQueue();
        Map<String, Integer> served = new HashMap<>();
        for (int step = 0; step < 3000; step++) {
            add(queue, "flood", 1, 10);
            add(queue, "a", 1, 1 + random.nextInt(2));
            add(queue, "b", 1, 1 + random.nextInt(2));
            for (int i = 0; i < 3; i++) {
                served.merge(queue.poll().request().account().name(), 1, Integer::sum);
            }
        }
        assertThat(served.get("flood").doubleValue()).isCloseTo(3000, within(300.0));
        assertThat(served.get("a").doubleValue()).isCloseTo(served.get("b"), within(300.0));
    }

    @Test
    void backloggedAccountsGetServiceByWeight() {
        FairQueue queue = new FairQueue();
        add(queue, "small", 1, 1000);
        add(queue, "large", 3, 1000);
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            served.merge(queue.poll().request().account().name(), 1, Integer::sum);
        }
        assertThat(served.get("large")).isBetween(740, 760);
    }

    /** An account that was idle for a long time must not be served exclusively until it has caught up. */
    @Test
    void idleTimeEarnsNoLaterPriority() {
        FairQueue queue = new FairQueue();
        add(queue, "busy", 1, 500);
        for (int i = 0; i < 400; i++) {
            queue.poll();
        }
        add(queue, "late", 1, 100);
        int late = 0;
        for (int i = 0; i < 100; i++) {
            late += queue.poll().request().account().name().equals("late") ? 1 : 0;
        }
        assertThat(late).isBetween(45, 55);
    }

    @Test
    void removedRequestsAreNotServedAndCountsStayRight() {
        FairQueue queue = new FairQueue();
        add(queue, "a", 1, 3);
        Waiter second = queue.peek().orElseThrow();
        assertThat(queue.remove(second.request())).isTrue();
        assertThat(queue.remove(second.request())).isFalse();
        assertThat(queue.size()).isEqualTo(2);
        assertThat(queue.aheadOf("a", 1)).isEqualTo(2);
        assertThat(queue.aheadOf("new", 1)).isEqualTo(1);
        assertThat(queue.poll()).isNotEqualTo(second);
    }

    private void add(FairQueue queue, String account, double weight, int count) {
        AccountSettings settings =
                new AccountSettings(account, "", weight, 1e6, Priority.STANDARD, Duration.ofSeconds(6), List.of("p"));
        for (int i = 0; i < count; i++) {
            String id = "r" + nextId++;
            PipelineRequest request = new PipelineRequest(
                    id, settings, id, PIPELINE, new byte[0], new byte[0], Priority.STANDARD, 0, false);
            queue.add(new Waiter(request, null));
        }
    }
}
