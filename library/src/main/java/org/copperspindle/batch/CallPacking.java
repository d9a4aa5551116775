package org.copperspindle.batch;

import java.util.List;

import org.copperspindle.route.BatchLimits;

/**
 * Chooses the pieces of the next call to an upstream. Implementations have no state and do not change the groups.
 */
interface CallPacking {

    /**
     * Returns the pieces of the next call. Pieces of one group are consecutive and taken from the start of its
     * missing ones.
     *
     * @param ordered the groups that may go to the upstream, in the order in which they are dispatched
     * @param limits  limits of the pool
     * @param bounds  bounds of the call
     * @return the pieces; none if nothing fits
     */
    List<PieceTask> pack(List<WaitingGroup> ordered, BatchLimits limits, CallBounds bounds);

    /**
     * Returns whether the rest of a group that is split goes first in the next call. If so, the first group of a call
     * waits for the memory for all of it where its results are too large to be split.
     */
    default boolean ordersRestsFirst() {
        return false;
    }
}
