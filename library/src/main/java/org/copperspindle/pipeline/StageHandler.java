package org.copperspindle.pipeline;

import java.io.IOException;

import org.copperspindle.config.StageSettings;

/**
 * Creates requests and parses responses in the common interface of one kind of upstream.
 */
public interface StageHandler {

    /**
     * Returns the HTTP path of the call.
     *
     * @param stage the stage
     * @return its configured path, else the default of the kind
     */
    String path(StageSettings stage);

    /**
     * Creates the body of the call.
     *
     * @param context   results of earlier stages
     * @param stage     the stage
     * @param streaming whether a streamed response is requested
     * @return a JSON body
     * @throws IOException if it can't be written
     */
    byte[] request(StageContext context, StageSettings stage, boolean streaming) throws IOException;

    /**
     * Stores a complete response in the context.
     *
     * @param context     the context to update
     * @param body        complete body
     * @param contentType its content type
     * @param streaming   whether it was streamed
     * @throws IOException if the body is not a complete response of this kind
     */
    void accept(StageContext context, byte[] body, String contentType, boolean streaming) throws IOException;

    /**
     * Returns whether this kind of upstream can stream its response.
     *
     * @return true for engines
     */
    default boolean canStream() {
        return false;
    }
}
