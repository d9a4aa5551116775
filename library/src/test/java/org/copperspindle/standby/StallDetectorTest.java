package org.copperspindle.standby;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StallDetectorTest {

    private static final long MILLI = 1_000_000L;

    private final AtomicLong monotonicMillis = new AtomicLong(50);
    private final AtomicLong dayMillis = new AtomicLong(5000);
    private final StallDetector detector = new StallDetector(this::nanos, dayMillis::get);

    /**
     * A stopped process shows in the monotonic clock, a suspended VM only in the time of day. Undetected, a dispatcher
     * would start the calls that its standby has already made; a busy process must not count as stopped. The silence of
     * 300 ms is measured from a heartbeat up to 80 ms before the stall, so shorter stalls matter as well.
     */
    @ParameterizedTest
    @CsvSource({
        "80, 80, false",
        "199, 199, false",
        "200, 200, true",
        "300, 300, true",
        "20, 199, false",
        "20, 220, true",
        "20, 320, true",
        "0, 6300, true"
    })
    void detectsStoppedProcessesAndSuspendedMachines(long monotonic, long day, boolean stalled) {
        assertThat(detector.check()).isFalse();
        monotonicMillis.addAndGet(monotonic);
        dayMillis.addAndGet(day);
        assertThat(detector.check()).isEqualTo(stalled);
        assertThat(detector.check()).isFalse();
    }

    private long nanos() {
        return monotonicMillis.get() * MILLI;
    }
}
