package org.copperspindle.membership;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A member's lease never ends after the leader's count of it, and an unsuitable grant doesn't extend it.
 */
class LeaseClockTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final LeaseClock clock = new LeaseClock();

    /**
     * The grant is delayed, and the clocks differ by up to one percent. When the lease ends by the leader's clock it
     * must have ended at the member; otherwise a version would be reported as accepted while an entry still serves the
     * previous one.
     */
    @ParameterizedTest
    @CsvSource({"0, 1.0", "0, 0.99", "0, 1.01", "900, 0.99", "4000, 0.99"})
    void memberStopsBeforeTheLeaseEndsAtTheLeader(long delayMillis, double memberRate) {
        long number = clock.request(0, 7);
        long answered = (long) (Duration.ofMillis(delayMillis).toNanos() * memberRate);
        assertThat(clock.grant(new LeaseGrantMessage(5000, 1, 7, number, 0), answered))
                .isTrue();

        long leadersEnd = (long) (5 * SECOND * memberRate);
        assertThat(clock.isHeld(leadersEnd)).isFalse();
    }

    /**
     * A grant for another request, a duplicate, one from an old leader or one for another version must not extend the
     * lease.
     */
    @ParameterizedTest
    @CsvSource({"1, 2, 7, 5000", "9, 3, 7, 5000", "2, 3, 8, 5000", "2, 3, 6, 5000", "2, 3, 7, 0"})
    void unsuitableGrantChangesNothing(long number, long term, long version, long millis) {
        clock.grant(new LeaseGrantMessage(5000, 3, 7, clock.request(0, 7), 0), 1);
        long remainingNanos = clock.remainingNanos(1);
        clock.request(SECOND, 7);

        assertThat(clock.grant(new LeaseGrantMessage(millis, term, version, number, 0), SECOND + 1))
                .isFalse();
        assertThat(clock.remainingNanos(1)).isEqualTo(remainingNanos);
    }

    /**
     * The process is paused past the end of its lease, so that no timer runs: the first request afterwards must be
     * refused.
     */
    @Test
    void pausedProcessDoesNotServeAfterResuming() {
        clock.grant(new LeaseGrantMessage(5000, 1, 7, clock.request(0, 7), 0), 1);

        assertThat(clock.isHeld(SECOND)).isTrue();
        assertThat(clock.isHeld(10 * SECOND)).isFalse();
    }

    /**
     * A leader that was elected again over the same connection reads a report that was sent before its own earlier,
     * larger grant arrived, and replies to keep the share. It counts the reported share, so continuing with the larger
     * one would exceed the whole rate.
     */
    @Test
    void keepsNoMoreThanTheReportedShare() {
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
