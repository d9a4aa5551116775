package org.copperspindle.pipeline;

import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;

/**
 * What a {@link PipelineRun} wants done. The driver carries actions out in order and reports back with events.
 */
public sealed interface PipelineAction {

    /**
     * Ask for a claim.
     *
     * @param request the claim; the driver sets the correlation
     */
    record Claim(ClaimRequestMessage request) implements PipelineAction {}

    /**
     * Settle a claim.
     *
     * @param settle the settlement
     */
    record Settle(ClaimSettleMessage settle) implements PipelineAction {}

    /**
     * Dispatch an attempt.
     *
     * @param order the order
     */
    record Dispatch(AttemptOrderMessage order) implements PipelineAction {}

    /**
     * Fetch the kept outcome of an attempt, possibly of another entry.
     *
     * @param attemptId  the attempt
     * @param upstreamId upstream that it was dispatched to
     */
    record Query(String attemptId, String upstreamId) implements PipelineAction {}

    /**
     * Cancel an attempt that nobody waits for.
     *
     * @param attemptId  the attempt
     * @param upstreamId its upstream
     */
    record Cancel(String attemptId, String upstreamId) implements PipelineAction {}

    /**
     * Acknowledge an outcome.
     *
     * @param attemptId  the attempt
     * @param upstreamId its upstream
     */
    record Acknowledge(String attemptId, String upstreamId) implements PipelineAction {}

    /**
     * Wait for an upstream of a pool: call {@link PipelineRun#onCapacity} when one may be used, or
     * {@link PipelineRun#onHopeless} when it is too late.
     *
     * @param pool the pool
     */
    record Wait(String pool) implements PipelineAction {}

    /**
     * Pass a piece of the answer to the caller.
     *
     * @param text generated text
     */
    record Piece(String text) implements PipelineAction {}

    /**
     * End the request.
     *
     * @param answer its final answer; nothing follows
     */
    record Answer(PipelineAnswer answer) implements PipelineAction {}
}
