package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseWaitTest {

    /**
     * All nodes start after a loss of power, and a caller who comes back once only is among the first. It waits for a lease that is
     * under way, but not for more than a quarter of its time; where none is under way it is told at once.
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
    void waitsForALeaseThatIsUnderWay(boolean underWay, Long deadlineMillis, long waitedMillis, boolean worth) {
        LeaseWait wait = new LeaseWait(new Outlook(underWay));
        OptionalLong deadline = deadlineMillis == null ? OptionalLong.empty() : OptionalLong.of(deadlineMillis);
        assertThat(wait.isWorth(deadline, Duration.ofMillis(waitedMillis).toNanos()))
                .isEqualTo(worth);
    }

    /** A node that waits for its first lease, or does not. */
    private record Outlook(boolean isUnderWay) implements LeaseStatus {
        @Override
        public Duration returnAfter() {
            return Duration.ZERO;
        }
    }
}
