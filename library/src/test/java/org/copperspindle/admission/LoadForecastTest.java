package org.copperspindle.admission;

import org.copperspindle.batch.PoolLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LoadForecastTest {

    private static final double PIECES_PER_SECOND = 40;

    private final long[] clock = {0};
    private PoolLoad load = new PoolLoad(0, PIECES_PER_SECOND, 0);
    private final LoadForecast forecast = TestStarts.forecast(pool -> load, clock);
    private final StagedRequest request = TestStarts.request(TestStarts.route("r", 0, 3000, 9000, "p"), "a", false, 0);

    /** Without the starts of the last moments, a controller would start everything at once when a pool gets free. */
    @ParameterizedTest
    @CsvSource({"0, 100", "159, 100", "160, 0"})
    void countsStartsUntilLoadsContainThem(long laterMillis, long waitMillis) {
        forecast.recordStart(request);
        clock[0] = laterMillis * TestStarts.MILLI;
        assertThat(forecast.longestWaitNanos(request)).isEqualTo(waitMillis * TestStarts.MILLI);
        assertThat(forecast.queueingNanos(request) > 0).isEqualTo(waitMillis > 0);
    }

    /** A cost of 0 in a pool whose load is not known yet would make the request's account free of charge. */
    @Test
    void costsWorkOfTheSlowestPool() {
        assertThat(forecast.costNanos(request)).isEqualTo(100 * TestStarts.MILLI);
        assertThat(forecast.costNanos(request, "q")).isZero();
        load = PoolLoad.UNKNOWN;
        assertThat(forecast.costNanos(request)).isEqualTo(176 * TestStarts.MILLI);
        assertThat(forecast.fullCallNanos(request)).isEqualTo(440 * TestStarts.MILLI);
    }
}
