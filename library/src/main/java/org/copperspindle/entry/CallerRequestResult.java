package org.copperspindle.entry;

import org.copperspindle.http.ProblemDetails;

/**
 * What a caller's HTTP request says.
 */
sealed interface CallerRequestResult {

    /**
     * It can be judged.
     *
     * @param request what the caller asks for
     */
    record Read(CallerRequest request) implements CallerRequestResult {}

    /**
     * Its form is wrong; nothing of it was run.
     *
     * @param problem the answer
     */
    record Refused(ProblemDetails problem) implements CallerRequestResult {}
}
