package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays the load that a single dispatcher per pool is designed for: eight nodes with five requests a second each,
 * of eight pieces, for four upstreams whose full calls complete 360 pieces a second.
 */
class SharedCallsTest {

    private static final long MILLI = 1_000_000L;
    private static final BatchLimits LIMITS = TestRoutes.batch(40);
    private static final int NODES = 8;
    private static final int GROUPS = 1200;
    private static final int GROUPS_PER_SECOND = 40;
    private static final long SLACK_MILLIS = 900;

    /**
     * Of 1,200 groups, 1,197 complete in 900 ms with one dispatcher, and 14 if each node makes its own calls: small
     * calls use up the capacity of the pool, and queues grow until requests expire.
     */
    @Test
    void sharedCallsKeepUpWhereSeparateCallsDoNot() {
        int shared = madeInTime(1);
        int separate = madeInTime(NODES);
        assertThat(shared).isGreaterThan(GROUPS * 98 / 100);
        assertThat(separate).isLessThan(GROUPS / 2);
    }

    private static int madeInTime(int dispatchers) {
        VirtualTimerService time = new VirtualTimerService();
        UpstreamDirectory directory = new UpstreamDirectory();
        IntStream.range(0, 4)
                .forEach(i -> directory.accept(
                        new UpstreamRecord(
                                "u" + i,
                                0,
                                "p",
                                "10.0.0." + i + ":1",
                                "d",
                                UpstreamPhase.READY,
                                1,
                                1,
                                0,
                                0,
                                SoftwareVersion.UNSTATED),
                        0));
        FakeStagePort port = new FakeStagePort(time, LIMITS);
        Map<Long, Integer> left = new HashMap<>();
        Map<Long, Long> until = new HashMap<>();
        int[] inTime = new int[1];
        List<PoolDispatcher> nodes = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            nodes.add(new PoolDispatcher(
                    "p",
                    directory,
                    time,
                    port,
                    () -> Optional.of(LIMITS),
                    new RecordingSink(message -> {
                        long made = message.results().stream()
                                .filter(r -> r.outcome() instanceof PieceOutcome.Made)
                                .count();
                        int missing = left.merge(message.group(), -(int) made, Integer::sum);
                        if (missing == 0 && time.nanoTime() <= until.get(message.group())) {
                            inTime[0]++;
                        }
                    }),
                    new LogRateLimiter(0, 0)));
        }
        SplittableRandom random = new SplittableRandom(17);
        for (long id = 1; id <= GROUPS; id++) {
            double gap = -Math.log(1 - random.nextDouble()) / GROUPS_PER_SECOND;
            time.advance((long) (gap * 1e9));
            left.put(id, 8);
            until.put(id, time.nanoTime() + SLACK_MILLIS * MILLI);
            nodes.get(random.nextInt(dispatchers)).add("origin", group(id));
        }
        time.advance(30_000 * MILLI);
        return inTime[0];
    }

    private static PieceGroup group(long id) {
        List<Integer> all = IntStream.range(0, 8).boxed().toList();
        return new PieceGroup(
                id, "r" + id, 0, "p", 8, all, "k", List.of(), 4, SLACK_MILLIS, 4000, 10, 0, "", false, false);
    }
}
