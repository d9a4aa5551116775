package org.copperspindle.pipeline;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import org.copperspindle.claims.ClaimResult;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;

/**
 * Makes the final answers of one request. Keeps what it knows about whether any stage ran, so that no answer promises
 * more than that.
 */
final class AnswerFactory {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final PipelineRequest request;
    private boolean ran;
    private boolean mayHaveRun;

    AnswerFactory(PipelineRequest request) {
        this.request = request;
    }

    /** A stage ran and its outcome is known. */
    void markRan() {
        ran = true;
    }

    /** An attempt was handed over and its outcome is not known. */
    void markMayHaveRun() {
        mayHaveRun = true;
    }

    PipelineAnswer success(StageContext context) {
        byte[] body = request.pipeline().service() ? context.answer() : body(context);
        return new PipelineAnswer(RanVerdict.SUCCESS, OK, context.answerType(), body, "", Optional.empty());
    }

    PipelineAnswer bodyNotJson() {
        return failure(new NotRunVerdict("body-not-json"), BAD_REQUEST, "body is not JSON");
    }

    PipelineAnswer deadline() {
        return retryable(verdict("deadline"), GATEWAY_TIMEOUT, "deadline passed");
    }

    PipelineAnswer noUpstream(String pool) {
        return retryable(verdict("no-upstream"), UNAVAILABLE, "no upstream of pool " + pool + " can take the request");
    }

    PipelineAnswer hopeless(Duration comeBack) {
        return PipelineAnswer.failure(
                verdict("deadline-unreachable"),
                UNAVAILABLE,
                "can't be answered within the deadline",
                Optional.of(comeBack));
    }

    PipelineAnswer refused(String reason) {
        return retryable(verdict(reason), UNAVAILABLE, "upstreams refused the work");
    }

    PipelineAnswer lost(String reason) {
        return retryable(verdict(reason), BAD_GATEWAY, "answer of an upstream was lost");
    }

    PipelineAnswer abandoned(String reason) {
        return retryable(verdict(reason), GATEWAY_TIMEOUT, "no whole answer: " + reason);
    }

    PipelineAnswer upstreamStatus(int status, boolean passOn) {
        return failure(
                new RanVerdict("upstream-status-" + status),
                passOn ? status : BAD_GATEWAY,
                "upstream answered " + status);
    }

    PipelineAnswer keyConflict() {
        return failure(verdict("key-conflict"), CONFLICT, "idempotency key used with another body");
    }

    /** Not {@code NOT_RUN}: the key ran or may have, and a caller that is told otherwise would take a new key. */
    PipelineAnswer keyExpired() {
        return failure(
                new MayHaveRunVerdict("key-expired"),
                CONFLICT,
                "idempotency key is too old for its outcome to be known");
    }

    PipelineAnswer claimNotMade(ClaimResult result) {
        String reason = "claim-" + result.name().toLowerCase(Locale.ROOT);
        return retryable(verdict(reason), UNAVAILABLE, "claim can't be made now");
    }

    private Verdict verdict(String reason) {
        if (mayHaveRun) {
            return new MayHaveRunVerdict(reason);
        }
        return ran ? new RanVerdict(reason) : new NotRunVerdict(reason);
    }

    private byte[] body(StageContext context) {
        try {
            return StageContext.JSON.writeValueAsBytes(StageContext.JSON
                    .createObjectNode()
                    .put("request_id", request.requestId())
                    .put("output", context.text().toString())
                    .set("documents", context.documents()));
        } catch (IOException e) {
            return context.text().toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    private static PipelineAnswer failure(Verdict verdict, int status, String title) {
        return PipelineAnswer.failure(verdict, status, title, Optional.empty());
    }

    private static PipelineAnswer retryable(Verdict verdict, int status, String title) {
        return PipelineAnswer.failure(verdict, status, title, Optional.of(RETRY_AFTER));
    }
}
