package org.copperspindle.batch;

import java.time.Duration;
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
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays the load that splitting is designed for: groups of 10 to 22 pieces, 28 a second, for four upstreams whose
 * full calls of 31 complete 443 pieces a second. With whole groups only, a quarter of the places stay empty and the
 * pool falls behind.
 */
class SplitGroupsTest {

    private static final long MILLI = 1_000_000L;
    private static final BatchLimits LIMITS = new BatchLimits(
            1, 2, 31, 150 * MILLI, 4_180_000, 50_000_000, Duration.ofSeconds(4).toNanos(), 1_250_000_000L);
    private static final int GROUPS = 600;
    private static final double GROUPS_PER_SECOND = 28;
    private static final long OBJECTIVE_MILLIS = 800;

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final Map<Long, Integer> left = new HashMap<>();
    private final Map<Long, Long> until = new HashMap<>();
    private int inTime;

    /** Of 600 groups, 556 complete in 800 ms; with whole groups only, 494 did. */
    @Test
    void callsAreFullUnderLoad() {
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
        PoolDispatcher dispatcher = new PoolDispatcher(
                "p",
                directory,
                time,
                new FakeStagePort(time, LIMITS),
                () -> Optional.of(LIMITS),
                new RecordingSink(this::made),
                new LogRateLimiter(0, 0));
        SplittableRandom random = new SplittableRandom(5);
        for (long id = 1; id <= GROUPS; id++) {
            time.advance((long) (-Math.log(1 - random.nextDouble()) / GROUPS_PER_SECOND * 1e9));
            int pieces = 10 + random.nextInt(13);
            left.put(id, pieces);
            until.put(id, time.nanoTime() + OBJECTIVE_MILLIS * MILLI);
            dispatcher.add("origin", group(id, pieces));
        }
        time.advance(30_000 * MILLI);
        assertThat(inTime).isGreaterThan(GROUPS * 90 / 100);
    }

    private void made(PieceResultsMessage message) {
        int missing = left.merge(message.group(), -message.results().size(), Integer::sum);
        inTime += missing == 0 && time.nanoTime() <= until.get(message.group()) ? 1 : 0;
    }

    private static PieceGroup group(long id, int pieces) {
        List<Integer> all = IntStream.range(0, pieces).boxed().toList();
        return new PieceGroup(
                id, "r" + id, 0, "p", pieces, all, "k", List.of(), 4, OBJECTIVE_MILLIS, 4000, 10, 0, "", false, false);
    }
}
