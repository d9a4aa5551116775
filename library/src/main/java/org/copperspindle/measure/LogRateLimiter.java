package org.copperspindle.measure;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Limits the log lines per second about requests. Failed requests have a limit of their own, so that a flood of
 * successful ones never suppresses their lines. Suppressed lines are counted, and the counts are logged. Used on the
 * network thread only.
 */
public final class LogRateLimiter {

    private static final Logger LOGGER = LogManager.getLogger(LogRateLimiter.class);
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final int servedLimit;
    private final int failedLimit;
    private long second;
    private int served;
    private int failed;
    private long suppressedServed;
    private long suppressedFailed;

    /**
     * Creates a limiter.
     *
     * @param servedLimit maximum lines per second about successful requests
     * @param failedLimit maximum lines per second about requests that fail or are refused
     */
    public LogRateLimiter(int servedLimit, int failedLimit) {
        this.servedLimit = servedLimit;
        this.failedLimit = failedLimit;
    }

    /**
     * Reserves a log line for a request that is successful so far.
     *
     * @param now monotonic time in nanoseconds
     * @return false if the line must be suppressed
     */
    public boolean allowsServed(long now) {
        startSecond(now);
        if (served < servedLimit) {
            served++;
            return true;
        }
        suppressedServed++;
        return false;
    }

    /**
     * Reserves a log line for a request that fails or is refused.
     *
     * @param now monotonic time in nanoseconds
     * @return false if the line must be suppressed
     */
    public boolean allowsFailed(long now) {
        startSecond(now);
        if (failed < failedLimit) {
            failed++;
            return true;
        }
        suppressedFailed++;
        return false;
    }

    private void startSecond(long now) {
        long current = Math.floorDiv(now, NANOS_PER_SECOND);
        if (current == second) {
            return;
        }
        if (suppressedServed + suppressedFailed > 0) {
            LOGGER.warn("event=lines-dropped served={} failed={}", suppressedServed, suppressedFailed);
        }
        second = current;
        served = 0;
        failed = 0;
        suppressedServed = 0;
        suppressedFailed = 0;
    }
}
