package org.copperspindle.gateway;

import java.time.Duration;

/**
 * What callers may expect of a node that has no lease.
 */
interface LeaseStatus {

    /** Says whether the node has just started and its first lease is under way: callers had better wait here than come back. */
    boolean isUnderWay();

    /** Returns when a caller should come back that is refused for want of a lease. */
    Duration returnAfter();
}
