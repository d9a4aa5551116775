package org.copperspindle.batch;

import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class FetchTimeEstimatorTest {

    private static final long MILLI = 1_000_000L;
    private static final BatchLimits LIMITS = TestRoutes.batch(40);

    private final FetchTimeEstimator time = new FetchTimeEstimator();

    /** Over a 10 Gbit/s link shared by three transfers, a megabyte takes 2.4 ms. */
    @ParameterizedTest
    @CsvSource({"0, 25", "1000000, 27", "20000000, 73"})
    void followsFromSizesAndLink(long bytes, long millis) {
        assertThat(time.nanos(LIMITS, bytes) / MILLI).isEqualTo(millis);
    }

    /**
     * A link loses packets and results are released before they were fetched: stages run again and their requests are
     * late. The next results are retained for longer, until some time after the link has recovered.
     */
    @Test
    void growsAfterResultsWereMissed() {
        time.recordEarlyRelease();
        assertThat(time.nanos(LIMITS, 0)).isEqualTo(50 * MILLI);
        for (int i = 0; i < 10; i++) {
            time.recordEarlyRelease();
        }
        assertThat(time.nanos(LIMITS, 0)).isEqualTo(150 * MILLI);
        for (int i = 0; i < 1000; i++) {
            time.recordSuccess();
        }
        assertThat(time.nanos(LIMITS, 0)).isBetween(25 * MILLI, 26 * MILLI);
    }
}
