package org.copperspindle.entry;

import org.copperspindle.http.ProblemDetails;

/**
 * Result of parsing a caller's HTTP request.
 */
sealed interface CallerRequestResult {

    /**
     * The request is well-formed.
     *
     * @param request the parsed request
     */
    record Read(CallerRequest request) implements CallerRequestResult {}

    /**
     * The request is malformed; nothing of it was run.
     *
     * @param problem the response
     */
    record Refused(ProblemDetails problem) implements CallerRequestResult {}
}
