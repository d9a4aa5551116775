package org.copperspindle.entry;

import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;

/**
 * What an entry decided on one caller's request.
 */
sealed interface AdmissionResult {

    /**
     * The request is taken on.
     *
     * @param request the request with its bounds
     */
    record Admitted(PipelineRequest request) implements AdmissionResult {}

    /**
     * The request is refused and does not run.
     *
     * @param answer what the caller is told
     */
    record Refused(PipelineAnswer answer) implements AdmissionResult {}
}
