package org.copperspindle.gateway;

import java.util.OptionalLong;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PriorWaitEstimatorTest {

    private final PriorWaitEstimator waits = new PriorWaitEstimator();

    /** Callers of one route have timeouts of 17 to 23 s. All come for the first time, and none may count as a retry. */
    @Test
    void callersWithDifferentTimeoutsHaveNotWaited() {
        long waited = LongStream.rangeClosed(0, 600)
                .map(i -> waits.waitedMillis("r", OptionalLong.of(23_000 - i * 10)))
                .sum();
        assertThat(waited).isZero();
    }

    /** A caller was told to retry after a quarter of its time, and does. */
    @ParameterizedTest
    @CsvSource({"15000, 11000, 4000", "15000, 11200, 0", "15000, 14900, 0"})
    void callerWithMuchLessTimeIsARetry(long longest, long left, long waited) {
        assertThat(waits.waitedMillis("r", OptionalLong.of(longest))).isZero();
        assertThat(waits.waitedMillis("r", OptionalLong.of(left))).isEqualTo(waited);
        assertThat(waits.waitedMillis("other", OptionalLong.of(left))).isZero();
        assertThat(waits.waitedMillis("r", OptionalLong.empty())).isZero();
    }
}
