package org.copperspindle.batch;

import java.time.Duration;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PaceReplayTest {

    private static final long RUN_NANOS = Duration.ofSeconds(60).toNanos();
    private static final long MAX_UNUSED_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long LAST_SEED = 8;

    /**
     * Guards against a dispatcher that learns of a slowdown only from calls that come back late: it sends urgent pieces
     * to slowed upstreams, and they miss their slack.
     */
    @Test
    void statedPaceLetsFewerPiecesMissTheirSlack() {
        long without = sum(seed -> replay(seed, false).missed());
        long with = sum(seed -> replay(seed, true).missed());
        assertThat(with).isLessThan(without * 9 / 10);
    }

    /** Guards against upstreams that stay unused because of a figure from before the end of their slowdown. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void upstreamIsUsedAgainAfterItsSlowdown(long seed) {
        PaceReplay replay = replay(seed, true);
        assertThat(replay.longestUnusedNanos()).isLessThan(MAX_UNUSED_NANOS);
        assertThat(replay.delivered()).isEqualTo(replay(seed, false).delivered());
    }

    private static long sum(ToLongFunction<Long> figure) {
        return LongStream.rangeClosed(1, LAST_SEED)
                .map(seed -> figure.applyAsLong(seed))
                .sum();
    }

    private static PaceReplay replay(long seed, boolean stated) {
        return new PaceReplay(seed, stated).run(seed, RUN_NANOS);
    }
}
