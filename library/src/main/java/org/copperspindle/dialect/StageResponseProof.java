package org.copperspindle.dialect;

import java.util.List;

import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.direct.EarlierResponses;
import org.copperspindle.direct.ResponseProof;

/**
 * Recognises the response to a call that runs pieces by its results, which have handles of their own.
 */
final class StageResponseProof {

    private StageResponseProof() {}

    /**
     * Returns what the results of a response show, and records them if it may be used.
     *
     * @param outcomes outcomes of the pieces of the call
     * @param earlier  results of earlier responses on the connection
     * @return without results, nothing
     */
    static ResponseProof of(List<PieceOutcome> outcomes, EarlierResponses earlier) {
        List<String> handles = outcomes.stream()
                .filter(PieceOutcome.Made.class::isInstance)
                .map(outcome -> ((PieceOutcome.Made) outcome).handle())
                .toList();
        if (handles.isEmpty()) {
            return ResponseProof.UNPROVEN;
        }
        if (earlier.heldAny(handles)) {
            return ResponseProof.FOREIGN;
        }
        earlier.add(handles);
        return ResponseProof.OWN;
    }
}
