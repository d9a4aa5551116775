package org.copperspindle.pipeline;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.Priority;

/**
 * One admitted request.
 *
 * @param requestId     identity of this arrival, minted by the entry
 * @param account       client account
 * @param key           idempotency key of the caller, or {@code requestId} if it sent none
 * @param pipeline      pipeline to run, as configured when the request was admitted
 * @param body          JSON body
 * @param bodyDigest    SHA-256 of the body
 * @param priority      priority within the account's bounds
 * @param deadlineNanos instant of the timer service by which the whole answer is due
 * @param streaming     whether the caller takes the answer in pieces
 */
public record PipelineRequest(
        String requestId,
        AccountSettings account,
        String key,
        PipelineSettings pipeline,
        byte[] body,
        byte[] bodyDigest,
        Priority priority,
        long deadlineNanos,
        boolean streaming) {

    /**
     * Says whether the caller brought the key. A minted one is the identity of the arrival, so no other arrival has it.
     *
     * @return false if the entry minted it
     */
    public boolean callerKey() {
        return !key.equals(requestId);
    }
}
