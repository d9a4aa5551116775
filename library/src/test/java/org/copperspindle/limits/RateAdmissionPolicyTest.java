package org.copperspindle.limits;

import java.time.Duration;
import java.util.List;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RateAdmissionPolicyTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final int SECONDS = 120;

    private final RateAdmissionPolicy one = new RateAdmissionPolicy(1_000_000);
    private final RateAdmissionPolicy other = new RateAdmissionPolicy(1_000_000);

    /**
     * A client account floods two entries for two minutes while its rate is redistributed between them every second.
     * Together they must admit no more than the rate plus their bursts of one second or one request each. If an entry
     * credited the time before an increase at its new, larger fraction, it would admit more.
     */
    @ParameterizedTest
    @CsvSource({"100", "10", "1", "0.02"})
    void twoEntriesTogetherAdmitNoMoreThanTheRate(double rate) {
        AccountSettings account = account(rate);
        long admitted = 0;
        for (long milli = 0; milli < SECONDS * 1000; milli++) {
            long now = milli * MILLI;
            if (milli % 1000 == 0) {
                double fraction = milli / 1000 % 5 / 4.0;
                one.setRateShare(fraction, now);
                other.setRateShare(1 - fraction, now);
            }
            admitted += admit(one, account, now) + admit(other, account, now);
        }
        double bursts = 2 * Math.max(1, rate);
        assertThat(admitted).isPositive().isLessThanOrEqualTo((long) Math.ceil(rate * SECONDS + bursts));
    }

    /** With equal fractions the account gets its full rate, measured after its bursts are used up. */
    @Test
    void equalFractionsAdmitTheRate() {
        AccountSettings account = account(10);
        one.setRateShare(0.5, 0);
        other.setRateShare(0.5, 0);
        long admitted = 0;
        for (long milli = 0; milli <= SECONDS * 1000; milli++) {
            admitted += admit(one, account, milli * MILLI) + admit(other, account, milli * MILLI);
        }
        assertThat(admitted).isBetween(10L * SECONDS, 10L * SECONDS + 10);
    }

    /** An entry without a fraction of the rate admits nothing, although its burst is unused. */
    @Test
    void entryWithoutAFractionAdmitsNothing() {
        one.setRateShare(0, 0);

        assertThat(one.tryAdmit(account(100), Priority.INTERACTIVE, MILLI)).contains(Duration.ofSeconds(1));
    }

    private static int admit(RateAdmissionPolicy policy, AccountSettings account, long now) {
        return policy.tryAdmit(account, Priority.INTERACTIVE, now).isEmpty() ? 1 : 0;
    }

    private static AccountSettings account(double rate) {
        return new AccountSettings("a", "", 1, rate, Priority.INTERACTIVE, Duration.ofSeconds(1), List.of());
    }
}
