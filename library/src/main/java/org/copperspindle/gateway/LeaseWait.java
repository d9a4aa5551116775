package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether a request waits for the first lease of a node that has just started.
 *
 * <p>After a power loss all nodes start together, and callers connect to those that listen. Most callers retry only
 * once: if refused, they would use up their retry while the lease of the node is pending.
 */
final class LeaseWait {

    /** A node without a disk gets its first lease within this time of its start, once there is a leader. */
    private static final long MAX_WAIT_NANOS = Duration.ofMillis(800).toNanos();

    /** Maximum share of the caller's timeout that a request waits; in the rest the caller may still retry. */
    private static final double MAX_TIMEOUT_SHARE = 0.25;

    private static final double NANOS_PER_MILLI = 1e6;

    private final LeaseStatus leaseStatus;

    LeaseWait(LeaseStatus leaseStatus) {
        this.leaseStatus = leaseStatus;
    }

    /**
     * Returns whether a request should wait any longer.
     *
     * @param deadlineMillis the caller's timeout in milliseconds, if stated
     * @param waitedNanos    how long the request has waited here
     */
    boolean shouldWait(OptionalLong deadlineMillis, long waitedNanos) {
        double maxShareNanos = deadlineMillis.isPresent()
                ? MAX_TIMEOUT_SHARE * deadlineMillis.getAsLong() * NANOS_PER_MILLI
                : MAX_WAIT_NANOS;
        return leaseStatus.isFirstLeasePending() && waitedNanos < Math.min(MAX_WAIT_NANOS, maxShareNanos);
    }
}
