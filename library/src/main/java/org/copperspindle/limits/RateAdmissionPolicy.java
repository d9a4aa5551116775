package org.copperspindle.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Priority;

/**
 * Limits each client account to this entry's fraction of its rate, with a burst of one second's worth but at least
 * one request, and limits the requests in progress at the entry, of which lower priorities may use a smaller share.
 */
public final class RateAdmissionPolicy implements AdmissionPolicy {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration NO_SHARE_RETRY_AFTER = Duration.ofSeconds(1);
    private static final double[] SHARE_BY_PRIORITY = {1.0, 0.9, 0.75};

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final int maxInProgress;
    private double fraction = 1;
    private int inProgress;

    /**
     * Creates a policy.
     *
     * @param maxInProgress maximum number of requests in progress at the entry
     */
    public RateAdmissionPolicy(int maxInProgress) {
        this.maxInProgress = maxInProgress;
    }

    @Override
    public void setRateShare(double newFraction, long now) {
        if (newFraction == fraction) {
            return;
        }
        // Tokens earned so far accrued at the old rate; a larger fraction must not apply retroactively.
        buckets.values().forEach(bucket -> bucket.fill(fraction, now));
        fraction = newFraction;
    }

    @Override
    public Optional<Duration> tryAdmit(AccountSettings account, Priority priority, long now) {
        if (inProgress >= maxInProgress * SHARE_BY_PRIORITY[priority.ordinal()]) {
            return Optional.of(Duration.ofSeconds(1));
        }
        if (fraction == 0) {
            return Optional.of(NO_SHARE_RETRY_AFTER);
        }
        Bucket bucket = buckets.computeIfAbsent(account.name(), name -> new Bucket(now, fraction, account));
        bucket.ratePerSecond = account.ratePerSecond();
        bucket.fill(fraction, now);
        if (bucket.tokens < 1) {
            double seconds = (1 - bucket.tokens) / (bucket.ratePerSecond * fraction);
            return Optional.of(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)));
        }
        bucket.tokens--;
        inProgress++;
        return Optional.empty();
    }

    @Override
    public void release(AccountSettings account, Priority priority) {
        inProgress--;
    }

    private static final class Bucket {
        private long filledAt;
        private double tokens;
        private double ratePerSecond;

        private Bucket(long filledAt, double fraction, AccountSettings account) {
            this.filledAt = filledAt;
            this.ratePerSecond = account.ratePerSecond();
            this.tokens = Math.max(1, ratePerSecond * fraction);
        }

        private void fill(double fraction, long now) {
            double rate = ratePerSecond * fraction;
            tokens = Math.min(Math.max(1, rate), tokens + (now - filledAt) / NANOS_PER_SECOND * rate);
            filledAt = now;
        }
    }
}
