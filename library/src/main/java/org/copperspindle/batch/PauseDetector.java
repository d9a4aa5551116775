package org.copperspindle.batch;

import java.time.Duration;

/**
 * Detects pauses of this process. Calls that were in progress during a pause seem to have taken that long, and groups
 * of other nodes have been sent to another dispatcher meanwhile.
 *
 * <p>The process checks its clock at least every {@link BatchService#LOAD_INTERVAL_NANOS}. After a pause the first
 * event to be handled may be a response that had been waiting, so code that evaluates a duration checks here first.
 */
final class PauseDetector {

    /** Shortest detected pause: several check intervals, since a busy process is late by less. */
    private static final long MIN_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

    private long checkedAt;
    private long pauseEndedAt;
    private long pauseNanos;
    private boolean checkedBefore;

    /**
     * Compares the clock with the previous check.
     *
     * @param now monotonic time in nanoseconds
     */
    void check(long now) {
        if (checkedBefore && now - checkedAt >= MIN_PAUSE_NANOS) {
            pauseEndedAt = now;
            pauseNanos = now - checkedAt;
        }
        checkedBefore = true;
        checkedAt = now;
    }

    /**
     * Returns whether something that ends now was in progress during a pause.
     *
     * @param startedAt when it started, monotonic time in nanoseconds
     * @param now       monotonic time in nanoseconds
     */
    boolean affects(long startedAt, long now) {
        check(now);
        return pauseNanos > 0 && startedAt - pauseEndedAt < 0;
    }

    /** Returns the duration of the last pause; 0 if there was none. */
    long pauseNanos() {
        return pauseNanos;
    }

    /** Returns when the last pause ended. */
    long pauseEndedAt() {
        return pauseEndedAt;
    }
}
