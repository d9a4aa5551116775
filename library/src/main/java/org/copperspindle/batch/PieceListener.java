package org.copperspindle.batch;

import java.util.List;

/**
 * Waits for the pieces of a group.
 */
@FunctionalInterface
public interface PieceListener {

    /**
     * Some pieces are done.
     *
     * @param results their outcomes; each piece comes once
     */
    void onResults(List<PieceResult> results);
}
