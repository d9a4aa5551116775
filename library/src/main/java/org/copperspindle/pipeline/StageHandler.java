package org.copperspindle.pipeline;

import java.io.IOException;

import org.copperspindle.config.StageSettings;

/**
 * Speaks the usual interface of one kind of upstream.
 */
public interface StageHandler {

    /**
     * Returns the HTTP path of the call.
     *
     * @param stage the stage
     * @return its configured path, else the usual one of the kind
     */
    String path(StageSettings stage);

    /**
     * Makes the body of the call.
     *
     * @param context   what earlier stages produced
     * @param stage     the stage
     * @param streaming whether the answer is wanted in pieces
     * @return a JSON body
     * @throws IOException if it can't be written
     */
    byte[] request(StageContext context, StageSettings stage, boolean streaming) throws IOException;

    /**
     * Takes a whole response into the context.
     *
     * @param context     where to
     * @param body        whole body
     * @param contentType its content type
     * @param streaming   whether it came in pieces
     * @throws IOException if the body is not a whole answer of this kind
     */
    void accept(StageContext context, byte[] body, String contentType, boolean streaming) throws IOException;

    /**
     * Says whether this kind of upstream can answer in pieces.
     *
     * @return true for engines
     */
    default boolean canStream() {
        return false;
    }
}
