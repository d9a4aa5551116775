package org.copperspindle.pipeline;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;

/**
 * An action requested by a {@link PipelineRun}. The driver executes actions in order and reports back with events.
 */
public sealed interface PipelineAction {

    /**
     * Requests a claim.
     *
     * @param request the claim; the driver sets the correlation
     */
    record Claim(ClaimRequestMessage request) implements PipelineAction {}

    /**
     * Abandons a claim request; its attempt will never be dispatched.
     *
     * @param attemptId the attempt
     */
    record AbandonClaim(String attemptId) implements PipelineAction {}

    /**
     * Settles a claim.
     *
     * @param settle      the settlement; the driver sets the correlation
     * @param acknowledge what to acknowledge once the settlement is committed, and not before
     */
    record Settle(ClaimSettleMessage settle, Optional<Acknowledge> acknowledge) implements PipelineAction {}

    /**
     * Dispatches an attempt.
     *
     * @param order the order
     */
    record Dispatch(AttemptOrderMessage order) implements PipelineAction {}

    /**
     * Fetches the kept outcome of an attempt, possibly one of another entry.
     *
     * @param attemptId   the attempt
     * @param upstreamId  upstream that it was dispatched to
     * @param incarnation incarnation of the agent that it was meant for
     * @param clockMicros reading of that incarnation's clock from before the attempt was dispatched, 0 if none was
     *                    known
     * @param repeatable  whether its stage may run again
     * @param delay       delay before the query
     */
    record Query(
            String attemptId, String upstreamId, long incarnation, long clockMicros, boolean repeatable, Duration delay)
            implements PipelineAction {}

    /**
     * Cancels an attempt whose outcome is not needed.
     *
     * @param attemptId  the attempt
     * @param upstreamId its upstream
     */
    record Cancel(String attemptId, String upstreamId) implements PipelineAction {}

    /**
     * Acknowledges an outcome.
     *
     * @param attemptId  the attempt
     * @param upstreamId its upstream
     */
    record Acknowledge(String attemptId, String upstreamId) implements PipelineAction {}

    /**
     * Waits for an upstream of a pool: the driver calls {@link PipelineRun#onCapacity} when one may be used, or
     * {@link PipelineRun#onDeadlineUnreachable} when it is too late.
     *
     * @param pool the pool
     */
    record Wait(String pool) implements PipelineAction {}

    /**
     * Passes a piece of the answer to the caller.
     *
     * @param text generated text
     */
    record Piece(String text) implements PipelineAction {}

    /**
     * Counts a message that was late, duplicated, foreign or out of order.
     *
     * @param what {@code chunk} or {@code outcome}
     */
    record Dropped(String what) implements PipelineAction {}

    /**
     * Ends the request.
     *
     * @param answer its final answer; nothing follows
     */
    record Answer(PipelineAnswer answer) implements PipelineAction {}
}
