package org.copperspindle.measure;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DecisionLogTest {

    private static final long SECOND = 1_000_000_000L;

    /** A flood of requests that go well, and one in a thousand that fails: each failure leaves its line. */
    @Test
    void linesAreBoundedAndFailuresHaveTheirOwnAllowance() {
        DecisionLog log = new DecisionLog(100, 10);
        long served = IntStream.range(0, 10_000).filter(i -> log.takesServed(i)).count();
        long failed = IntStream.range(0, 10).filter(i -> log.takesFailed(i)).count();
        assertThat(served).isEqualTo(100);
        assertThat(failed).isEqualTo(10);
        assertThat(log.takesFailed(SECOND - 1)).isFalse();
        assertThat(log.takesServed(SECOND)).as("the next second").isTrue();
    }
}
