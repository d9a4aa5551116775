package org.copperspindle.time;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SuspensionDetectorTest {

    /**
     * After a suspension of some seconds the monotonic clock continues where it stopped, and the time of day has
     * jumped ahead.
     */
    @ParameterizedTest
    @CsvSource({
        "1000, 1000, false",
        "1000, 1100, false",
        "10, 5010, true",
        "1000, 1400, true",
        "1000, -2000, false",
    })
    void detectsJumpOfTimeOfDay(long monotonicMillis, long dayMillis, boolean suspended) {
        AtomicLong monotonic = new AtomicLong(7);
        AtomicLong day = new AtomicLong(1_000_000);
        SuspensionDetector detector = new SuspensionDetector(monotonic::get, day::get);
        monotonic.addAndGet(monotonicMillis * 1_000_000);
        day.addAndGet(dayMillis);
        assertThat(detector.detectSuspension()).isEqualTo(suspended);
        monotonic.addAndGet(1_000_000);
        day.addAndGet(1);
        assertThat(detector.detectSuspension()).as("reported once").isFalse();
    }
}
