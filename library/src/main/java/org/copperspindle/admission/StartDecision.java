package org.copperspindle.admission;

import java.time.Duration;

/**
 * Decision on a request that waits for the start of its stages.
 */
public sealed interface StartDecision {

    /**
     * Returns the request.
     *
     * @return the request that the decision is about
     */
    StartRequest request();

    /**
     * The stages start now.
     *
     * @param request the request
     */
    record Start(StartRequest request) implements StartDecision {}

    /**
     * The request is refused: its stages can't start in its time.
     *
     * @param request    the request
     * @param retryAfter when the caller should retry
     */
    record Refuse(StartRequest request, Duration retryAfter) implements StartDecision {}
}
