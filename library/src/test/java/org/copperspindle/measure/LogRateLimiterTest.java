package org.copperspindle.measure;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogRateLimiterTest {

    private static final long SECOND = 1_000_000_000L;

    /** In a flood of successful requests one in a thousand fails: every failure is still logged. */
    @Test
    void linesAreLimitedAndFailuresHaveTheirOwnLimit() {
        LogRateLimiter limiter = new LogRateLimiter(100, 10);
        long served =
                IntStream.range(0, 10_000).filter(i -> limiter.allowsServed(i)).count();
        long failed =
                IntStream.range(0, 10).filter(i -> limiter.allowsFailed(i)).count();
        assertThat(served).isEqualTo(100);
        assertThat(failed).isEqualTo(10);
        assertThat(limiter.allowsFailed(SECOND - 1)).isFalse();
        assertThat(limiter.allowsServed(SECOND)).as("the next second").isTrue();
    }
}
