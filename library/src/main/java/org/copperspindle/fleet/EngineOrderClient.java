package org.copperspindle.fleet;

import java.util.function.Consumer;

/**
 * Carries calls to the engine beside an agent.
 */
public interface EngineOrderClient {

    /** Status given to the callback when there was no whole answer. */
    int NO_ANSWER = 0;

    /**
     * Sends a call.
     *
     * @param request  the call
     * @param callback told the HTTP status, or {@link #NO_ANSWER}, once, on the decision ring
     */
    void send(EngineRequest request, Consumer<Integer> callback);
}
