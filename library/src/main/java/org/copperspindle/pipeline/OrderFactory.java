package org.copperspindle.pipeline;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimShards;
import org.copperspindle.config.StageSettings;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.Verdict;

/**
 * Creates the messages of one request to agents and to the claims.
 */
final class OrderFactory {

    private static final int NANOS_PER_MICRO = 1000;

    private final PipelineRequest request;
    private final UpstreamChooser chooser;

    OrderFactory(PipelineRequest request, UpstreamChooser chooser) {
        this.request = request;
        this.chooser = chooser;
    }

    AttemptOrderMessage order(StageAttempt attempt, StageSettings stage, StageContext context, long now) {
        StageHandler handler = StageHandlerFactory.of(chooser.kind(stage.pool()));
        byte[] body;
        try {
            body = handler.request(context, stage, attempt.streaming());
        } catch (IOException e) {
            throw new IllegalStateException("request of stage " + stage.name() + " can't be written", e);
        }
        return new AttemptOrderMessage(
                attempt.id(),
                request.requestId(),
                attempt.upstreamId(),
                attempt.incarnation(),
                handler.path(stage),
                body,
                attempt.streaming(),
                stage.repeatable(),
                request.priority(),
                (request.deadlineNanos() - now) / NANOS_PER_MICRO,
                chooser.configVersion());
    }

    ClaimRequestMessage claim(StageAttempt attempt, StageSettings stage) {
        return new ClaimRequestMessage(
                0,
                request.account().name(),
                request.key(),
                request.claimStage(stage),
                attempt.id(),
                attempt.upstreamId(),
                request.bodyDigest(),
                attempt.incarnation(),
                attempt.clockMicros(),
                ClaimShards.of(request.account().name(), request.key()));
    }

    /** Returns whether the answer of a stage is streamed to the caller. */
    boolean streaming(int stageIndex) {
        List<StageSettings> stages = request.pipeline().stages();
        return request.streaming()
                && stageIndex == stages.size() - 1
                && StageHandlerFactory.of(chooser.kind(stages.get(stageIndex).pool()))
                        .canStream();
    }

    /** Returns the actions that pass pieces of an answer to the caller. */
    static List<PipelineAction> pass(StageContext context, List<String> texts) {
        texts.forEach(context::passOn);
        return texts.stream().<PipelineAction>map(PipelineAction.Piece::new).toList();
    }

    PipelineAction query(StageAttempt attempt, StageSettings stage, Duration delay) {
        return new PipelineAction.Query(
                attempt.id(),
                attempt.upstreamId(),
                attempt.incarnation(),
                attempt.clockMicros(),
                stage.repeatable(),
                delay);
    }

    /** Returns the actions that report the end of an attempt to the claims and the agent. */
    List<PipelineAction> conclude(StageAttempt attempt, StageSettings stage, Verdict verdict) {
        boolean refused = verdict instanceof NotRunVerdict;
        PipelineAction.Acknowledge acknowledge = new PipelineAction.Acknowledge(attempt.id(), attempt.upstreamId());
        if (stage.repeatable()) {
            return refused ? List.of() : List.of(acknowledge);
        }
        // The outcome is acknowledged only once the settlement is committed. Otherwise the agent may drop the outcome
        // while the claim is still open, and a resend would get no more than MAY_HAVE_RUN.
        return List.of(new PipelineAction.Settle(
                request.settlement(stage, attempt.id(), verdict),
                refused ? Optional.empty() : Optional.of(acknowledge)));
    }
}
