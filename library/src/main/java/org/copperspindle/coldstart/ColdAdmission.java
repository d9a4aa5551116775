package org.copperspindle.coldstart;

import org.copperspindle.route.ColdLimits;

/**
 * Parts what a cold upstream bears among the nodes. Network thread only.
 */
public interface ColdAdmission {

    /**
     * Says whether this node may send a request to a cold upstream now.
     *
     * @param upstream id of the upstream
     * @param limits   what it bears from all nodes
     * @param now      monotonic time in nanoseconds
     * @return false if another node may, or if this one has sent as many as it may
     */
    boolean mayTake(String upstream, ColdLimits limits, long now);

    /**
     * Notes that this node sends a request to an upstream, cold or not: one that is cold a moment later has got it as well.
     *
     * @param upstream id of the upstream
     * @param now      monotonic time in nanoseconds
     */
    void recordSend(String upstream, long now);
}
