package org.copperspindle.batch;

/**
 * A call in progress.
 *
 * @param statedNanos  its duration by the limits of the pool
 * @param paceWhenSent the pace that its upstream stated before it was sent
 * @param sentAt       monotonic time in nanoseconds
 * @param resumedOnly  whether it carries only groups of interrupted streams, apart from other calls
 */
record SentCall(long statedNanos, double paceWhenSent, long sentAt, boolean resumedOnly) {

    /**
     * Returns how long the call should have taken at the pace that the upstream stated meanwhile. Only what exceeds
     * this counts as slowness: otherwise a slowdown would count twice, and the upstream would still seem slow after
     * it.
     */
    long expectedNanos(double paceNow) {
        return (long) (statedNanos * (paceWhenSent + paceNow) / 2);
    }
}
