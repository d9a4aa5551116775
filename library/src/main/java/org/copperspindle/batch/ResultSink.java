package org.copperspindle.batch;

import java.util.List;

/**
 * Delivers outcomes to the node that waits for them, and releases inputs at the dispatchers of the pools that
 * produced them.
 */
interface ResultSink {
    /**
     * Delivers outcomes.
     *
     * @param origin  node that submitted the group
     * @param results the outcomes
     */
    void deliver(String origin, PieceResultsMessage results);

    /**
     * Releases results of other pools.
     *
     * @param results the results
     */
    void release(List<StageResult> results);
}
