package org.copperspindle.measure;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DecisionLogTest {

    private static final long SECOND = 1_000_000_000L;

    /** In a flood of successful requests one in a thousand fails: every failure is still logged. */
    @Test
    void linesAreLimitedAndFailuresHaveTheirOwnLimit() {
        DecisionLog limiter = new DecisionLog(100, 10);
        long served =
                IntStream.range(0, 10_000).filter(i -> limiter.takesServed(i)).count();
        long failed = IntStream.range(0, 10).filter(i -> limiter.takesFailed(i)).count();
        assertThat(served).isEqualTo(100);
        assertThat(failed).isEqualTo(10);
        assertThat(limiter.takesFailed(SECOND - 1)).isFalse();
        assertThat(limiter.takesServed(SECOND)).as("the next second").isTrue();
    }
}
