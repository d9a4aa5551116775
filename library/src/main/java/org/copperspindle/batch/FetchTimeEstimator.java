package org.copperspindle.batch;

import java.time.Duration;

import org.copperspindle.route.BatchLimits;

/**
 * How long an upstream takes to fetch stage results, after which they are given up. Results hold scarce memory at their
 * makers: kept for a fixed 120 ms behind the call that reads them, results of one pool left room for eight pieces in calls
 * of sixteen in all 24 calls of a burst that left pieces waiting.
 *
 * <p>The time follows from the sizes and the link; what is not in these, such as a loaded link or a lost packet, shows in
 * results that were given up too early, which double the time. It comes back as calls go well.
 */
public final class FetchTimeEstimator {

    /** For the call to arrive, and for the first byte. */
    private static final long BASE_NANOS = Duration.ofMillis(25).toNanos();

    /** Links are shared with other fetches at either end. */
    private static final double SHARED_LINK = 3;

    /** Where the link is not known: a few megabytes over 1 Gbit/s. */
    private static final long UNKNOWN_NANOS = Duration.ofMillis(120).toNanos();

    /** Longest wait beyond what sizes and link ask for: packets that are lost are sent again within this time. */
    private static final double MOST_FACTOR = 6;

    /** Part of the added time that one sound call takes back: about a hundred of them take back half. */
    private static final double RECOVERY = 0.007;

    private double factor = 1;

    /**
     * Returns after which time results have been fetched.
     *
     * @param limits limits of the pool that made them or that reads them, whichever states the link
     * @param bytes  all that is fetched by one call
     * @return nanoseconds from when the call is sent to an upstream that is free
     */
    public long nanos(BatchLimits limits, long bytes) {
        if (limits.linkBytesPerSecond() <= 0) {
            return (long) (UNKNOWN_NANOS * factor);
        }
        double transfer = (double) bytes
                / limits.linkBytesPerSecond()
                * Duration.ofSeconds(1).toNanos();
        return (long) ((BASE_NANOS + SHARED_LINK * transfer) * factor);
    }

    /** Notes that results were given up before they were fetched. */
    public void recordEarlyRelease() {
        factor = Math.min(MOST_FACTOR, factor * 2);
    }

    /** Notes that results were given up, and the call that reads them went well. */
    public void recordSuccess() {
        factor -= (factor - 1) * RECOVERY;
    }
}
