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
 * Creates the final answers of one request. It tracks whether any stage ran or may have run, so that no answer claims
 * more than is known.
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
    private final boolean mayBeResend;
    private boolean ran;
    private boolean mayHaveRun;

    AnswerFactory(PipelineRequest request) {
        this.request = request;
        this.mayBeResend = RefusalVerdictPolicy.mayBeResend(request.callerKey(), Optional.of(request.pipeline()));
    }

    /** Records that a stage ran and its outcome is known. */
    void markRan() {
        ran = true;
    }

    /** Records that an attempt was dispatched and its outcome is not known. */
    void markMayHaveRun() {
        mayHaveRun = true;
    }

    PipelineAnswer success(StageContext context) {
        byte[] body = request.pipeline().service() ? context.answer() : body(context);
        return new PipelineAnswer(RanVerdict.SUCCESS, OK, context.answerType(), body, "", Optional.empty());
    }

    /** {@code NOT_RUN} for any key: no entry ever accepts this body. */
    PipelineAnswer bodyNotJson() {
        return failure(new NotRunVerdict("body-not-json"), BAD_REQUEST, "body is not JSON");
    }

    PipelineAnswer deadline() {
        return retryable(verdict("deadline"), GATEWAY_TIMEOUT, "deadline passed");
    }

    PipelineAnswer noUpstream(String pool) {
        return retryable(verdict("no-upstream"), UNAVAILABLE, "no upstream of pool " + pool + " can take the request");
    }

    PipelineAnswer deadlineUnreachable(Duration retryAfter) {
        return PipelineAnswer.failure(
                verdict("deadline-unreachable"),
                UNAVAILABLE,
                title("can't be answered within the deadline"),
                Optional.of(retryAfter));
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

    /** Applies to the refused body only: the key belongs to the first body for as long as its claim is kept. */
    PipelineAnswer keyConflict() {
        return failure(
                verdictOr("key-conflict", new NotRunVerdict("key-conflict")),
                CONFLICT,
                "idempotency key used with another body");
    }

    /**
     * Never {@code NOT_RUN}: the request ran or may have run, and a caller that gets {@code NOT_RUN} would use a new
     * key.
     */
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
        return verdictOr(reason, RefusalVerdictPolicy.verdict(mayBeResend, reason));
    }

    /** Returns the verdict from this arrival's own attempts, or the given verdict if none ran. */
    private Verdict verdictOr(String reason, Verdict verdictIfNoneRan) {
        if (mayHaveRun) {
            return new MayHaveRunVerdict(reason);
        }
        return ran ? new RanVerdict(reason) : verdictIfNoneRan;
    }

    private String title(String title) {
        return RefusalVerdictPolicy.title(mayBeResend, title);
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

    private PipelineAnswer retryable(Verdict verdict, int status, String title) {
        return PipelineAnswer.failure(verdict, status, title(title), Optional.of(RETRY_AFTER));
    }
}
