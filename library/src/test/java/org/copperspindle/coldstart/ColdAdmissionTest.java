package org.copperspindle.coldstart;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.copperspindle.measure.BusiestWindow;
import org.copperspindle.route.ColdLimits;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A cold upstream and nodes that all send to it, in virtual time. The test counts requests in a sliding window of one
 * second, as such an upstream does; it crashes above 1.5 times the rate that it can take plus five requests.
 */
class ColdAdmissionTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;
    private static final String COLD = "cold-upstream";

    private final VirtualTimerService time = new VirtualTimerService();
    private final List<Long> arrivals = new ArrayList<>();

    /**
     * A failure domain returns cold during a burst: all nodes see an idle upstream at the same moment, each would
     * send all it has there, and the upstream would crash again. The nodes are all connected, split into two halves
     * that don't see each other, or split and then connected again.
     */
    @ParameterizedTest
    @CsvSource({
        "3, 18, ALL",
        "7, 18, ALL",
        "34, 18, ALL",
        "34, 18, HALVES",
        "34, 18, HEALING",
        "34, 2, ALL",
        "34, 2, HALVES",
        "34, 0.4, ALL",
        "300, 18, ALL",
        "300, 18, HALVES",
        "300, 100, HEALING",
        "4, 60, HALVES"
    })
    void coldUpstreamIsNotOverloaded(int count, double perSecond, View view) {
        for (long seed = 1; seed <= 5; seed++) {
            arrivals.clear();
            run(count, perSecond, view, new Random(seed));
            assertThat(BusiestWindow.count(arrivals, SECOND)).isLessThanOrEqualTo((int) (perSecond * OVERAGE + SLACK));
        }
    }

    /**
     * A cold upstream that the pool needs is used: within the first second it already gets a good part of the rate
     * that it can take.
     */
    @ParameterizedTest
    @CsvSource({"3, 18", "7, 18", "34, 18", "34, 100", "300, 18"})
    void coldUpstreamIsUsed(int count, double perSecond) {
        run(count, perSecond, View.ALL, new Random(1));
        long first = arrivals.stream().filter(at -> at < SECOND).count();
        assertThat(first).isGreaterThanOrEqualTo((long) (perSecond / 2));
    }

    /** An isolated node can't know what the others send. */
    @Test
    void isolatedNodeSendsNothing() {
        ColdAdmission alone = new SenderSetAdmission("n0", List::of, () -> true);
        assertThat(alone.mayTake(COLD, new ColdLimits(Duration.ofSeconds(3), 18), 0))
                .isFalse();
    }

    /** Requests that were sent before the upstream was known to be cold count as well. */
    @Test
    void earlierSendsCount() {
        ColdAdmission alone = new SenderSetAdmission("n0", List::of, () -> false);
        ColdLimits limits = new ColdLimits(Duration.ofSeconds(3), 10);
        IntStream.range(0, 30).forEach(i -> alone.recordSend(COLD, i * 10 * MILLI));
        assertThat(alone.mayTake(COLD, limits, 300 * MILLI)).isFalse();
        assertThat(alone.mayTake(COLD, limits, 2000 * MILLI)).isTrue();
    }

    private void run(int count, double perSecond, View view, Random random) {
        long start = time.nanoTime();
        ColdLimits limits = new ColdLimits(Duration.ofSeconds(3), perSecond);
        for (int i = 0; i < count; i++) {
            int self = i;
            ColdAdmission admission =
                    new SenderSetAdmission("n" + i, () -> others(self, count, view, start), () -> false);
            sendWhenAllowed(admission, limits, start, random);
        }
        time.advance(4 * SECOND);
    }

    /** Sends whenever the node may; a request takes up to 20 ms to arrive. */
    private void sendWhenAllowed(ColdAdmission admission, ColdLimits limits, long start, Random random) {
        long now = time.nanoTime();
        if (now - start > 3 * SECOND) {
            return;
        }
        if (admission.mayTake(COLD, limits, now)) {
            admission.recordSend(COLD, now);
            arrivals.add(now - start + random.nextInt(20) * MILLI);
        }
        time.schedule((1 + random.nextInt(30)) * MILLI, () -> sendWhenAllowed(admission, limits, start, random));
    }

    private List<String> others(int self, int count, View view, long start) {
        boolean partitioned = view == View.HALVES || view == View.HEALING && time.nanoTime() - start < SECOND;
        return IntStream.range(0, count)
                .filter(i -> i != self && (!partitioned || i % 2 == self % 2))
                .mapToObj(i -> "n" + i)
                .toList();
    }

    /** Which other nodes a node sees. */
    enum View {
        ALL,
        HALVES,
        HEALING
    }
}
