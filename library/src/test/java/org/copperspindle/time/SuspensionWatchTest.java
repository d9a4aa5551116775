package org.copperspindle.time;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SuspensionWatchTest {

    /** A VM that stands still for seconds sees its monotonic clock go on where it stopped, and the time of day jump. */
    @ParameterizedTest
    @CsvSource({
        "1000, 1000, false",
        "1000, 1100, false",
        "10, 5010, true",
        "1000, 1400, true",
        "1000, -2000, false",
    })
    void noticesThatTheTimeOfDayRanAhead(long monotonicMillis, long dayMillis, boolean stoodStill) {
        AtomicLong monotonic = new AtomicLong(7);
        AtomicLong day = new AtomicLong(1_000_000);
        SuspensionWatch watch = new SuspensionWatch(monotonic::get, day::get);
        monotonic.addAndGet(monotonicMillis * 1_000_000);
        day.addAndGet(dayMillis);
        assertThat(watch.stoodStill()).isEqualTo(stoodStill);
        monotonic.addAndGet(1_000_000);
        day.addAndGet(1);
        assertThat(watch.stoodStill()).as("told once").isFalse();
    }
}
