package org.copperspindle.coldstart;

import org.copperspindle.route.ColdLimits;

/**
 * Divides the request rate that a cold upstream can take among the nodes. Network thread only.
 */
public interface ColdAdmission {

    /**
     * Returns whether this node may send a request to a cold upstream now.
     *
     * @param upstream id of the upstream
     * @param limits   rate that it can take from all nodes
     * @param now      monotonic time in nanoseconds
     * @return false if only other nodes may, or if this node has used its share
     */
    boolean mayTake(String upstream, ColdLimits limits, long now);

    /**
     * Records that this node sends a request to an upstream, cold or not: the request also counts if the upstream is
     * found to be cold a moment later.
     *
     * @param upstream id of the upstream
     * @param now      monotonic time in nanoseconds
     */
    void recordSend(String upstream, long now);
}
