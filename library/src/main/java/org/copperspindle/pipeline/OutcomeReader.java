package org.copperspindle.pipeline;

import java.io.IOException;
import java.util.List;

import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * Judges outcomes: only what its own framing shows to be whole counts as an answer. Safeguard: a body cut short by a
 * reset would otherwise reach the caller as complete; enough, since a plain answer needs the agent's word that the
 * declared length arrived, and a stream its own end mark, which an orderly end of a connection is not.
 */
final class OutcomeReader {

    private static final int SUCCESS_LIMIT = 300;

    private OutcomeReader() {}

    /**
     * Judges one outcome and takes what it brings.
     *
     * @param attempt the attempt
     * @param outcome its outcome
     * @param context takes a whole answer
     * @param handler speaks the interface of the upstream
     * @param pieces  takes the pieces of a stream that did not arrive before
     * @return what it means
     */
    static StageResult read(
            StageAttempt attempt,
            AttemptOutcomeMessage outcome,
            StageContext context,
            StageHandler handler,
            List<String> pieces) {
        if (outcome.verdict() instanceof NotRunVerdict) {
            // An agent that forgot what the claims still know proves nothing.
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
