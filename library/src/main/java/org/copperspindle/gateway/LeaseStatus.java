package org.copperspindle.gateway;

import java.time.Duration;

/**
 * Status of the configuration lease of a node, as far as it concerns callers.
 */
interface LeaseStatus {

    /**
     * Returns whether the node has just started and its first lease is pending: callers should wait here rather than
     * retry.
     */
    boolean isFirstLeasePending();

    /** Returns the delay after which a caller that was refused for lack of a lease should retry. */
    Duration retryAfter();
}
