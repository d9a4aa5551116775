package org.copperspindle.fleet;

import java.util.function.Consumer;

/**
 * Sends HTTP calls to the engine of an agent.
 */
public interface EngineOrderClient {

    /** Status passed to the callback when no complete response was received. */
    int NO_RESPONSE = 0;

    /**
     * Sends a call.
     *
     * @param request  the call
     * @param callback receives the HTTP status, or {@link #NO_RESPONSE}, exactly once, on the decision ring
     */
    void send(EngineRequest request, Consumer<Integer> callback);
}
