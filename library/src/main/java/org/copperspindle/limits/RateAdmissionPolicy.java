package org.copperspindle.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Priority;

/**
 * Holds each client account to its rate, with a burst of one second, and the whole entry to a number of requests in
 * progress of which lower priorities may use less.
 */
public final class RateAdmissionPolicy implements AdmissionPolicy {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double[] SHARE_BY_PRIORITY = {1.0, 0.9, 0.75};

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final int maxInProgress;
    private int inProgress;

    /**
     * Creates a policy.
     *
     * @param maxInProgress requests in progress at one entry
     */
    public RateAdmissionPolicy(int maxInProgress) {
        this.maxInProgress = maxInProgress;
    }

    @Override
    public Optional<Duration> refuse(AccountSettings account, Priority priority, long now) {
        if (inProgress >= maxInProgress * SHARE_BY_PRIORITY[priority.ordinal()]) {
            return Optional.of(Duration.ofSeconds(1));
        }
        double rate = account.ratePerSecond();
        Bucket bucket = buckets.computeIfAbsent(account.name(), name -> new Bucket(now, rate));
        bucket.tokens = Math.min(Math.max(1, rate), bucket.tokens + (now - bucket.filledAt) / NANOS_PER_SECOND * rate);
        bucket.filledAt = now;
        if (bucket.tokens < 1) {
            return Optional.of(Duration.ofNanos((long) ((1 - bucket.tokens) / rate * NANOS_PER_SECOND)));
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

        private Bucket(long filledAt, double rate) {
            this.filledAt = filledAt;
            this.tokens = Math.max(1, rate);
        }
    }
}
