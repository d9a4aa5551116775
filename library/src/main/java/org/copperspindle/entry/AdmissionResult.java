package org.copperspindle.entry;

import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;

/**
 * Decision of an entry on one caller's request.
 */
sealed interface AdmissionResult {

    /**
     * The request is admitted.
     *
     * @param request the request with its deadline and priority bounded
     */
    record Admitted(PipelineRequest request) implements AdmissionResult {}

    /**
     * The request is refused and does not run.
     *
     * @param answer response to the caller
     */
    record Refused(PipelineAnswer answer) implements AdmissionResult {}
}
