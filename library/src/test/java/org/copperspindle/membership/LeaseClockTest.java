package org.copperspindle.membership;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A member's count of its lease never ends after the leader's, and no grant that proves too little prolongs it.
 */
class LeaseClockTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final LeaseClock clock = new LeaseClock();

    /**
     * The grant is a while under way, and the clocks run apart by up to one percent. When the leader's count ends, so
     * has the member's; otherwise a version would be called accepted while an entry still serves the one before.
     */
    @ParameterizedTest
    @CsvSource({"0, 1.0", "0, 0.99", "0, 1.01", "900, 0.99", "4000, 0.99"})
    void memberStopsBeforeTheLeaderCountsTheLeaseAsOver(long underWayMillis, double memberRate) {
        long number = clock.request(0, 7);
        long answered = (long) (Duration.ofMillis(underWayMillis).toNanos() * memberRate);
        assertThat(clock.grant(new LeaseGrantMessage(5000, 1, 7, number, 0), answered))
                .isTrue();

        long leadersEnd = (long) (5 * SECOND * memberRate);
        assertThat(clock.held(leadersEnd)).isFalse();
    }

    /** What must not prolong a lease: another request's grant, one doubled, of an old leader, or of another version. */
    @ParameterizedTest
    @CsvSource({"1, 2, 7, 5000", "9, 3, 7, 5000", "2, 3, 8, 5000", "2, 3, 6, 5000", "2, 3, 7, 0"})
    void grantThatProvesTooLittleChangesNothing(long number, long term, long version, long millis) {
        clock.grant(new LeaseGrantMessage(5000, 3, 7, clock.request(0, 7), 0), 1);
        long left = clock.left(1);
        clock.request(SECOND, 7);

        assertThat(clock.grant(new LeaseGrantMessage(millis, term, version, number, 0), SECOND + 1))
                .isFalse();
        assertThat(clock.left(1)).isEqualTo(left);
    }

    /** The process is paused past its lease, so that no timer runs: the first request after it is refused. */
    @Test
    void pausedProcessDoesNotServeOnWaking() {
        clock.grant(new LeaseGrantMessage(5000, 1, 7, clock.request(0, 7), 0), 1);

        assertThat(clock.held(SECOND)).isTrue();
        assertThat(clock.held(10 * SECOND)).isFalse();
    }

    /**
     * A leader that was elected again over the same connection reads a report sent before its own earlier, larger grant
     * arrived, and says to go on. It counts on the reported share; the larger one in use would be above the whole.
     */
    @Test
    void goesOnWithNoMoreThanItReported() {
        clock.grant(new LeaseGrantMessage(5000, 1, 7, clock.request(0, 7), 0, 200), 1);
        long raised = clock.request(10, 7);
        long reported = clock.request(20, 7);

        clock.grant(new LeaseGrantMessage(5000, 1, 7, raised, 0, 500), 30);
        assertThat(clock.rateShare(30)).isEqualTo(500);
        clock.grant(new LeaseGrantMessage(5000, 2, 7, reported, 0), 40);

        assertThat(clock.rateShare(40)).isEqualTo(200);
        assertThat(clock.rateShare(5 * SECOND)).isZero();
    }
}
