package org.copperspindle.admission;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ShortageDetectorTest {

    private static final long CALL_MILLIS = 400;

    private final ShortageDetector detector = new ShortageDetector();

    /** Nodes would change between two ways of deciding with each call if a short dip ended the shortage. */
    @Test
    void staysShortUntilASecondOfLittleQueueing() {
        assertThat(update(200, 0)).isFalse();
        assertThat(update(201, 1)).isTrue();
        assertThat(update(99, 2)).isTrue();
        assertThat(update(99, 1000)).isTrue();
        assertThat(update(100, 1000)).as("at a quarter the second starts anew").isTrue();
        assertThat(update(99, 1999)).isTrue();
        assertThat(update(99, 2000)).isFalse();
        assertThat(update(200, 2001)).isFalse();
    }

    /** A pool at half of its throughput would count as short if all pieces of earlier stages counted as waiting. */
    @ParameterizedTest
    @CsvSource({"0, 400, 0", "100, 400, 100", "100, 800, 100", "0, 1000, 200", "100, 1000, 300"})
    void expectedPiecesCountBeyondTheCallsBeforeThem(long waitMillis, long expectedPieces, long queueingMillis) {
        PoolLoad load = new PoolLoad(waitMillis * TestStarts.MILLI, 1000, expectedPieces);
        BatchLimits limits = new BatchLimits(1, 2, 16, 240 * TestStarts.MILLI, 10 * TestStarts.MILLI, 1, 1, 1);
        assertThat(ShortageDetector.queueingNanos(load, limits)).isEqualTo(queueingMillis * TestStarts.MILLI);
    }

    private boolean update(long queueingMillis, long atMillis) {
        return detector.update(
                queueingMillis * TestStarts.MILLI, CALL_MILLIS * TestStarts.MILLI, atMillis * TestStarts.MILLI);
    }
}
