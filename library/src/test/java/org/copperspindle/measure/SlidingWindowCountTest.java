package org.copperspindle.measure;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SlidingWindowCountTest {

    /** One event in each of five buckets of ten; the window has three. */
    @ParameterizedTest
    @CsvSource({"30, 3", "39, 3", "40, 2", "55, 1", "60, 0", "1000, 0"})
    void eventsExpireWithTheirBucket(long now, long expected) {
        SlidingWindowCount count = new SlidingWindowCount(3, 10);
        for (long at : new long[] {-5, 0, 10, 20, 30}) {
            count.add(at);
        }
        assertThat(count.sum(now)).isEqualTo(expected);
    }
}
