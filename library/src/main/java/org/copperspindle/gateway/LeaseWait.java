package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether a request waits for the first lease of a node that has just started.
 *
 * <p>The load it answers: all nodes start together after a loss of power, and callers come to those that listen. Most callers come back
 * once only: sent away, they would use that up while the node's lease is under way.
 */
final class LeaseWait {

    /** A node without a disk has its first lease within so long of its start, once there is a leader. */
    private static final long LONGEST_NANOS = Duration.ofMillis(800).toNanos();

    /** Part of its time that a caller waits at most: with the rest it may still come back. */
    private static final double PART = 0.25;

    private static final double NANOS_PER_MILLI = 1e6;

    private final LeaseStatus leases;

    LeaseWait(LeaseStatus leases) {
        this.leases = leases;
    }

    /**
     * Says whether it is worth waiting on.
     *
     * @param deadlineMillis how long the caller waits in all, if it says so
     * @param waitedNanos    how long it has waited here
     */
    boolean isWorth(OptionalLong deadlineMillis, long waitedNanos) {
        double part = deadlineMillis.isPresent() ? PART * deadlineMillis.getAsLong() * NANOS_PER_MILLI : LONGEST_NANOS;
        return leases.isUnderWay() && waitedNanos < Math.min(LONGEST_NANOS, part);
    }
}
