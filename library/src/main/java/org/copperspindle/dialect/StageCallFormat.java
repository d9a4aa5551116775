package org.copperspindle.dialect;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.batch.StageItem;

/**
 * Format of the calls to the stage upstreams of a deployment.
 */
public interface StageCallFormat {

    /**
     * Returns the path of calls that run pieces.
     *
     * @return a path
     */
    String runPath();

    /**
     * Returns the path of calls that release results.
     *
     * @return a path
     */
    String releasePath();

    /**
     * Writes the body of a call that runs pieces.
     *
     * @param items the pieces of the call
     * @return the body
     */
    JsonNode write(List<StageItem> items);

    /**
     * Writes the body of a call that releases results.
     *
     * @param handles handles of the results
     * @return the body
     */
    JsonNode writeRelease(List<String> handles);

    /**
     * Reads the response to a call that ran pieces.
     *
     * @param body body of the response
     * @return outcomes of the pieces, in their order
     */
    List<PieceOutcome> read(JsonNode body);
}
