package org.copperspindle.batch;

import java.util.List;

/**
 * Receives the outcomes of the pieces of a group.
 */
@FunctionalInterface
public interface PieceListener {

    /**
     * Called when some pieces are done.
     *
     * @param results their outcomes; each piece is reported once
     */
    void onResults(List<PieceResult> results);
}
