package org.copperspindle.admission;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AccountWorkTest {

    private static final long STEP_NANOS = 10 * TestStarts.MILLI;

    private final AccountWork work = new AccountWork();

    /**
     * Guards against a flood that is not limited, and against accounts that are limited although they are alone, use
     * what others leave, or have the weight for what they use. Rates are parts of the capacity of the pool.
     */
    @ParameterizedTest
    @CsvSource({
        "2.0, 1, 0.0, 1, 1.0, false",
        "0.9, 1, 0.0, 1, 0.9, false",
        "0.8, 1, 0.1, 1, 0.8, false",
        "1.5, 1, 0.3, 1, 0.6, false",
        "1.5, 1, 0.3, 1, 0.9, true",
        "1.5, 1, 0.9, 1, 0.7, true",
        "1.5, 3, 0.9, 1, 0.7, false"
    })
    void accountIsAboveItsMaxMinShare(
            double requested, double weight, double others, double othersWeight, double started, boolean above) {
        run("flood", weight, requested, started * 1.05, 0, 1000);
        if (others > 0) {
            run("other", othersWeight, others, others, 0, 1000);
        }
        work.update(1000 * STEP_NANOS);
        assertThat(work.isAboveShare("p", "flood")).isEqualTo(above);
        assertThat(work.isAboveShare("other pool", "flood")).isFalse();
    }

    /** An account that flooded the pools must not be limited for long after it has stopped. */
    @Test
    void formerWorkIsForgotten() {
        run("flood", 1, 3, 2, 0, 1000);
        run("other", 1, 0.3, 0.3, 0, 1000);
        work.update(1000 * STEP_NANOS);
        assertThat(work.isAboveShare("p", "flood")).isTrue();
        work.update(1400 * STEP_NANOS);
        assertThat(work.isAboveShare("p", "flood")).isFalse();
    }

    /** Many accounts must not use up the memory of the controller, and those beyond the maximum are not limited. */
    @ParameterizedTest
    @ValueSource(ints = {4096, 100_000})
    void keepsABoundedNumberOfAccounts(int accounts) {
        IntStream.range(0, accounts).forEach(i -> work.request("p", "a" + i, 1, 1e9, 0));
        work.start("p", "a" + (accounts - 1), 1e9, 0);
        work.update(0);
        assertThat(work.accountCount()).isEqualTo(4096);
        work.update(60_000 * TestStarts.MILLI);
        assertThat(work.accountCount()).isZero();
    }

    private void run(String account, double weight, double requested, double started, int from, int until) {
        for (int step = from; step < until; step++) {
            work.request("p", account, weight, requested * STEP_NANOS, step * STEP_NANOS);
            work.start("p", account, started * STEP_NANOS, step * STEP_NANOS);
        }
    }
}
