package org.copperspindle.pipeline;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.verdict.Verdict;

/**
 * The final answer to one request.
 *
 * @param verdict     whether the request ran
 * @param status      HTTP status for the caller
 * @param contentType content type of the body
 * @param body        complete body; empty for a failure, which the entry renders as problem details
 * @param title       short name of the failure, empty for success
 * @param retryAfter  when the caller may retry, if a retry is useful
 */
public record PipelineAnswer(
        Verdict verdict, int status, String contentType, byte[] body, String title, Optional<Duration> retryAfter) {

    /**
     * Creates a failure answer.
     *
     * @param verdict    whether the request ran
     * @param status     HTTP status
     * @param title      short name of the failure
     * @param retryAfter when the caller may retry
     * @return the answer
     */
    public static PipelineAnswer failure(Verdict verdict, int status, String title, Optional<Duration> retryAfter) {
        return new PipelineAnswer(verdict, status, "application/problem+json", new byte[0], title, retryAfter);
    }

    /**
     * Returns whether this is a complete, successful answer.
     *
     * @return false for a failure
     */
    public boolean successful() {
        return title.isEmpty();
    }
}
