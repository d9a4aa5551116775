package org.copperspindle.dialect;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.batch.StageItem;

/**
 * How a deployment writes the calls of its stage upstreams.
 */
public interface StageCallFormat {

    /**
     * Returns where pieces are asked for.
     *
     * @return a path
     */
    String runPath();

    /**
     * Returns where results are given up.
     *
     * @return a path
     */
    String freePath();

    /**
     * Writes a call.
     *
     * @param items its pieces
     * @return the body
     */
    JsonNode write(List<StageItem> items);

    /**
     * Writes which results are given up.
     *
     * @param handles their handles
     * @return the body
     */
    JsonNode writeFreed(List<String> handles);

    /**
     * Reads an answer.
     *
     * @param body its body
     * @return what became of the pieces, in their order
     */
    List<PieceOutcome> read(JsonNode body);
}
