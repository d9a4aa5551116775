package org.copperspindle.entry;

import org.copperspindle.pipeline.PipelineAnswer;

/**
 * Where one caller's answer goes. Called on the decision ring; never blocks.
 */
public interface AnswerSink {

    /**
     * Passes on a piece of a streamed answer.
     *
     * @param text generated text
     */
    void piece(String text);

    /**
     * Returns what waits for the caller to read. The entry ends an answer whose caller reads too slowly.
     *
     * @return bytes handed over and not yet taken by the network
     */
    default long waitingBytes() {
        return 0;
    }

    /**
     * Ends the answer.
     *
     * @param requestId identity of the request
     * @param answer    the final answer
     */
    void end(String requestId, PipelineAnswer answer);
}
