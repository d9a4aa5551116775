package org.copperspindle.entry;

import org.copperspindle.pipeline.PipelineAnswer;

/**
 * Receives the response to one caller. Called on the decision ring; never blocks.
 */
public interface AnswerSink {

    /**
     * Writes a chunk of a streamed response.
     *
     * @param text generated text
     */
    void writeChunk(String text);

    /**
     * Returns the number of bytes buffered for the caller. The entry aborts a response whose caller reads too slowly.
     *
     * @return bytes written and not yet sent to the network
     */
    default long waitingBytes() {
        return 0;
    }

    /**
     * Ends the response.
     *
     * @param requestId identity of the request
     * @param answer    the final response
     */
    void end(String requestId, PipelineAnswer answer);
}
