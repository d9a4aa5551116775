package org.copperspindle.entry;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.limits.Refusal;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.pipeline.RefusalVerdictPolicy;

/**
 * Admission of callers' requests: authenticates the account, checks what it may call, and bounds deadline and priority.
 * A refusal comes before any claim or dispatch, so nothing of this request runs. An earlier request with the same key
 * may still have run under an older configuration that knew and allowed the account.
 */
final class RequestAdmission {

    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final DeploymentView view;
    private final EntryPolicy policy;

    RequestAdmission(DeploymentView view, EntryPolicy policy) {
        this.view = view;
        this.policy = policy;
    }

    /** Refuses a request because this entry does not serve now. */
    AdmissionResult notServing(CallerRequest request) {
        boolean mayBeResend = mayBeResend(request, pipeline(request));
        return refuse(
                mayBeResend, "not-serving", UNAVAILABLE, "this entry does not serve now", Optional.of(RETRY_AFTER));
    }

    /**
     * Decides on one request.
     *
     * @param requestId identity of this request
     * @param request   what the caller sent
     * @param now       nanoseconds of the timer service
     * @return the decision; an admitted request must be released to the policy at its end
     */
    AdmissionResult admit(String requestId, CallerRequest request, long now) {
        Optional<AccountSettings> account = view.authenticate(request.bearer());
        if (account.isEmpty()) {
            // The verdict depends on the key alone, so that an unauthenticated caller can't learn which pipelines
            // exist.
            boolean keyed = request.key().isPresent();
            return refuse(keyed, "unknown-key", UNAUTHORIZED, "unknown bearer key", Optional.empty());
        }
        Optional<PipelineSettings> pipeline = pipeline(request);
        boolean mayBeResend = mayBeResend(request, pipeline);
        if (pipeline.isEmpty()) {
            return refuse(mayBeResend, "unknown-pipeline", NOT_FOUND, "no such pipeline or service", Optional.empty());
        }
        if (!account.get().pipelines().contains(request.pipeline())) {
            return refuse(mayBeResend, "not-allowed", FORBIDDEN, "the account may not call this", Optional.empty());
        }
        PipelineRequest bounded = bound(requestId, request, account.get(), pipeline.get(), now);
        Optional<Refusal> refusal = policy.tryAdmit(bounded, now);
        if (refusal.isPresent()) {
            return refuse(mayBeResend, refusal.get());
        }
        return new AdmissionResult.Admitted(bounded);
    }

    private Optional<PipelineSettings> pipeline(CallerRequest request) {
        return view.deployment().pipeline(request.pipeline()).filter(p -> p.service() == request.service());
    }

    private static boolean mayBeResend(CallerRequest request, Optional<PipelineSettings> pipeline) {
        return RefusalVerdictPolicy.mayBeResend(request.key().isPresent(), pipeline);
    }

    private static AdmissionResult refuse(boolean mayBeResend, Refusal refusal) {
        Optional<Duration> retryAfter = Optional.of(refusal.retryAfter());
        return refusal.reason().equals(Refusal.RATE)
                ? refuse(mayBeResend, refusal.reason(), TOO_MANY_REQUESTS, "over the account's rate", retryAfter)
                : refuse(
                        mayBeResend,
                        refusal.reason(),
                        UNAVAILABLE,
                        "can't be answered within the deadline",
                        retryAfter);
    }

    private static PipelineRequest bound(
            String requestId, CallerRequest request, AccountSettings account, PipelineSettings pipeline, long now) {
        Priority priority = request.priority().orElse(pipeline.priority());
        if (priority.ordinal() < account.highestPriority().ordinal()) {
            priority = account.highestPriority();
        }
        Duration deadline = request.deadline().orElse(pipeline.deadline());
        if (deadline.compareTo(account.maxDeadline()) > 0) {
            deadline = account.maxDeadline();
        }
        return new PipelineRequest(
                requestId,
                account,
                request.key().orElse(requestId),
                pipeline,
                request.body(),
                DeploymentView.sha256(request.body()),
                priority,
                now + deadline.toNanos(),
                request.streaming());
    }

    private static AdmissionResult refuse(
            boolean mayBeResend, String reason, int status, String title, Optional<Duration> retryAfter) {
        return new AdmissionResult.Refused(PipelineAnswer.failure(
                RefusalVerdictPolicy.verdict(mayBeResend, reason),
                status,
                RefusalVerdictPolicy.title(mayBeResend, title),
                retryAfter));
    }
}
