package org.copperspindle.pipeline;

import java.io.IOException;

import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.claims.ClaimShards;
import org.copperspindle.config.StageSettings;
import org.copperspindle.verdict.Verdict;

/**
 * Words what one request asks of agents and of the claims.
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
                claimStage(stage),
                attempt.id(),
                attempt.upstreamId(),
                request.bodyDigest(),
                attempt.incarnation(),
                attempt.clockMicros(),
                ClaimShards.of(request.account().name(), request.key()));
    }

    ClaimSettleMessage settle(StageAttempt attempt, StageSettings stage, Verdict verdict) {
        return new ClaimSettleMessage(
                0,
                request.account().name(),
                request.key(),
                claimStage(stage),
                attempt.id(),
                verdict,
                ClaimShards.of(request.account().name(), request.key()));
    }

    private String claimStage(StageSettings stage) {
        return request.pipeline().name() + "/" + stage.name();
    }
}
