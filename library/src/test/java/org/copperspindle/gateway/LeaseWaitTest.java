package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseWaitTest {

    /**
     * After a power loss all nodes start together, and a caller that retries only once is among the first. Its request
     * waits for a pending lease, but not for more than a quarter of the caller's timeout; if no lease is pending, it
     * is refused at once.
     */
    @ParameterizedTest
    @CsvSource({
        "true, 12000, 0, true",
        "true, 12000, 799, true",
        "true, 12000, 800, false",
        "true, 1600, 399, true",
        "true, 1600, 400, false",
        "true, 0, 0, false",
        "true, , 799, true",
        "false, 12000, 0, false"
    })
    void waitsForPendingFirstLease(boolean pending, Long deadlineMillis, long waitedMillis, boolean waits) {
        LeaseWait wait = new LeaseWait(new FixedLeaseStatus(pending));
        OptionalLong deadline = deadlineMillis == null ? OptionalLong.empty() : OptionalLong.of(deadlineMillis);
        assertThat(wait.shouldWait(deadline, Duration.ofMillis(waitedMillis).toNanos()))
                .isEqualTo(waits);
    }

    /** A status whose first lease is pending or not. */
    private record FixedLeaseStatus(boolean isFirstLeasePending) implements LeaseStatus {
        @Override
        public Duration retryAfter() {
            return Duration.ZERO;
        }
    }
}
