package org.copperspindle.pipeline;

import java.time.Duration;
import java.util.Optional;

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
     * Stop asking for a claim; its attempt will never be dispatched.
     *
     * @param attemptId the attempt
     */
    record AbandonClaim(String attemptId) implements PipelineAction {}

    /**
     * Settle a claim.
     *
     * @param settle      the settlement; the driver sets the correlation
     * @param acknowledge what to acknowledge once the settlement is committed, and not before
     */
    record Settle(ClaimSettleMessage settle, Optional<Acknowledge> acknowledge) implements PipelineAction {}

    /**
     * Dispatch an attempt.
     *
     * @param order the order
     */
    record Dispatch(AttemptOrderMessage order) implements PipelineAction {}

    /**
     * Fetch the kept outcome of an attempt, possibly of another entry.
     *
     * @param attemptId   the attempt
     * @param upstreamId  upstream that it was dispatched to
     * @param incarnation life of the agent that it was meant for
     * @param clockMicros reading of that life's clock from before the attempt was dispatched, 0 if none was known
     * @param repeatable  whether its stage may run again
     * @param delay       pause before asking
     */
    record Query(
            String attemptId, String upstreamId, long incarnation, long clockMicros, boolean repeatable, Duration delay)
            implements PipelineAction {}

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
     * {@link PipelineRun#onDeadlineUnreachable} when it is too late.
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
     * Count a message that was late, doubled, foreign or out of order.
     *
     * @param what {@code chunk} or {@code outcome}
     */
    record Dropped(String what) implements PipelineAction {}

    /**
     * End the request.
     *
     * @param answer its final answer; nothing follows
     */
    record Answer(PipelineAnswer answer) implements PipelineAction {}
}
