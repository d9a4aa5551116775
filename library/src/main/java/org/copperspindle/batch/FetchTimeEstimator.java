package org.copperspindle.batch;

import java.time.Duration;

import org.copperspindle.route.BatchLimits;

/**
 * Estimates how long an upstream takes to fetch stage results, which are released after that time. Results hold
 * scarce memory at their producers: with results retained for a fixed 120 ms after the start of the call that reads
 * them, one pool had memory left for only eight pieces in calls of sixteen, in all 24 calls of a burst that left
 * pieces waiting.
 *
 * <p>The estimate follows from the sizes and the link rate. Effects beyond these, such as a loaded link or a lost
 * packet, show as results that were released too early; each such case doubles the estimate, which decays back as
 * calls succeed.
 */
public final class FetchTimeEstimator {

    /** Time for the call to arrive and for the first byte of the results. */
    private static final long BASE_NANOS = Duration.ofMillis(25).toNanos();

    /** Slowdown of a transfer, since links are shared with other fetches at either end. */
    private static final double SHARED_LINK = 3;

    /** Estimate where the link rate is not known: a few megabytes over 1 Gbit/s. */
    private static final long UNKNOWN_LINK_NANOS = Duration.ofMillis(120).toNanos();

    /**
     * Upper bound of the factor on the time from sizes and link rate: lost packets are retransmitted within this
     * time.
     */
    private static final double MAX_FACTOR = 6;

    /** Share of the added time that one successful call removes: about a hundred of them remove half of it. */
    private static final double RECOVERY = 0.007;

    private double factor = 1;

    /**
     * Returns the time after which results have been fetched.
     *
     * @param limits limits of the producing or the reading pool, whichever states the link rate
     * @param bytes  total size that one call fetches
     * @return nanoseconds from when the call is sent to a free upstream
     */
    public long nanos(BatchLimits limits, long bytes) {
        if (limits.linkBytesPerSecond() <= 0) {
            return (long) (UNKNOWN_LINK_NANOS * factor);
        }
        double transfer = (double) bytes
                / limits.linkBytesPerSecond()
                * Duration.ofSeconds(1).toNanos();
        return (long) ((BASE_NANOS + SHARED_LINK * transfer) * factor);
    }

    /** Records that results were released before they were fetched. */
    public void recordEarlyRelease() {
        factor = Math.min(MAX_FACTOR, factor * 2);
    }

    /** Records that results were released and the call that reads them succeeded. */
    public void recordSuccess() {
        factor -= (factor - 1) * RECOVERY;
    }
}
