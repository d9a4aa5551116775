package org.copperspindle.pipeline;

import java.io.IOException;
import java.util.List;

import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * Evaluates outcomes: only a body whose framing proves that it is complete counts as an answer. Otherwise a body
 * truncated by a connection reset would reach the caller as complete. This check is sufficient: for a plain answer
 * the agent must confirm that the declared length arrived, and a stream must contain its end mark, which the orderly
 * close of a connection does not replace.
 */
final class OutcomeReader {

    private static final int SUCCESS_LIMIT = 300;

    private OutcomeReader() {}

    /**
     * Evaluates one outcome and stores its content.
     *
     * @param attempt the attempt
     * @param outcome its outcome
     * @param context receives a complete answer
     * @param handler handles the interface of the upstream
     * @param pieces  receives the pieces of a stream that had not arrived before
     * @return the result of the stage
     */
    static StageResult read(
            StageAttempt attempt,
            AttemptOutcomeMessage outcome,
            StageContext context,
            StageHandler handler,
            List<String> pieces) {
        if (outcome.verdict() instanceof NotRunVerdict) {
            // An agent that has dropped an outcome which the claims still know about proves nothing.
            return attempt.endedBefore()
                    ? new StageResult.Lost("outcome-forgotten")
                    : new StageResult.Refused(outcome.verdict().reason());
        }
        if (attempt.streaming()) {
            return readStream(attempt, outcome, pieces);
        }
        if (outcome.verdict() instanceof MayHaveRunVerdict) {
            return new StageResult.Lost(outcome.verdict().reason());
        }
        return readWhole(outcome, context, handler);
    }

    private static StageResult readWhole(AttemptOutcomeMessage outcome, StageContext context, StageHandler handler) {
        if (!outcome.complete()) {
            return new StageResult.Lost("incomplete-answer");
        }
        if (outcome.status() >= SUCCESS_LIMIT) {
            return new StageResult.Failed(outcome.status());
        }
        try {
            handler.accept(context, outcome.body(), outcome.contentType(), false);
            return new StageResult.Whole();
        } catch (IOException e) {
            return new StageResult.Lost("malformed-answer");
        }
    }

    private static StageResult readStream(StageAttempt attempt, AttemptOutcomeMessage outcome, List<String> pieces) {
        if (outcome.status() >= SUCCESS_LIMIT) {
            return new StageResult.Failed(outcome.status());
        }
        try {
            pieces.addAll(attempt.takeRest(outcome));
        } catch (IOException e) {
            return new StageResult.Malformed();
        }
        return attempt.streamEnded() ? new StageResult.Whole() : new StageResult.Lost("stream-cut");
    }
}
