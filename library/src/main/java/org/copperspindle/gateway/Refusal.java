package org.copperspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.admission.RetryAfterDelays;
import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.ProblemDetails;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.Verdict;

/**
 * An error response that this node generates itself.
 *
 * @param status     HTTP status
 * @param title      short description for people
 * @param verdict    whether the request may have run, and why it is refused
 * @param retryAfter suggested delay of a retry; only if the request did not run
 */
record Refusal(int status, String title, Verdict verdict, Optional<Duration> retryAfter) {

    /** Reason of the refusal of a quarantined request. */
    static final String CRASHES_UPSTREAMS = "ends-upstreams";

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    static Refusal malformed(String problem) {
        return notRun(BAD_REQUEST, "malformed-request", problem, Optional.empty());
    }

    static Refusal unknownKey() {
        return notRun(UNAUTHORIZED, "unknown-key", "the key belongs to no client account", Optional.empty());
    }

    static Refusal unknownRoute() {
        return notRun(NOT_FOUND, "unknown-route", "no route has this host and path", Optional.empty());
    }

    static Refusal unavailable(String reason, String title, Duration retryAfter) {
        return notRun(UNAVAILABLE, reason, title, Optional.of(retryAfter));
    }

    /** All upstreams that could take the request back off, or have used up their limit. */
    static Refusal backpressure(Duration retryAfter) {
        return unavailable("upstreams-in-need", "the upstreams of the pool take no more requests now", retryAfter);
    }

    /**
     * No upstream of the pool can take the request.
     *
     * @param mayHaveRun whether an earlier attempt may have run
     * @param freeNanos  time until an upstream takes requests again, in nanoseconds; empty if none is known to
     * @param delays     delays of retries
     */
    static Refusal noUpstream(boolean mayHaveRun, OptionalLong freeNanos, RetryAfterDelays delays) {
        if (mayHaveRun) {
            return failed("no-other-upstream");
        }
        if (freeNanos.isPresent()) {
            return backpressure(delays.after(freeNanos.getAsLong()));
        }
        return unavailable("no-upstream", "no upstream of the pool can take the request", delays.soon());
    }

    static Refusal failed(String reason) {
        return new Refusal(
                BAD_GATEWAY, "the upstream gave no whole answer", new MayHaveRunVerdict(reason), Optional.empty());
    }

    /**
     * A request that crashes upstreams. Callers don't retry by themselves after this status: any retry could crash
     * one more upstream.
     *
     * @param mayHaveRun whether this attempt of the caller reached an upstream
     */
    static Refusal crashesUpstreams(boolean mayHaveRun) {
        Verdict verdict = mayHaveRun ? new MayHaveRunVerdict(CRASHES_UPSTREAMS) : new NotRunVerdict(CRASHES_UPSTREAMS);
        return new Refusal(BAD_REQUEST, "upstreams ended each time they ran this request", verdict, Optional.empty());
    }

    /**
     * A request with a prompt part that crashes upstreams. Callers may share the part with others, so that they are told
     * when it is tried again.
     *
     * @param mayHaveRun whether this attempt of the caller reached an upstream
     * @param retryAfter time until the part is tried again
     */
    static Refusal partCrashesUpstreams(boolean mayHaveRun, Duration retryAfter) {
        String title = "upstreams ended when they ran requests with a part of this prompt";
        return mayHaveRun
                ? new Refusal(BAD_GATEWAY, title, new MayHaveRunVerdict(CRASHES_UPSTREAMS), Optional.empty())
                : unavailable(CRASHES_UPSTREAMS, title, retryAfter);
    }

    static Refusal timedOut() {
        return new Refusal(
                GATEWAY_TIMEOUT, "the time of the request is over", new MayHaveRunVerdict("timeout"), Optional.empty());
    }

    /** Sends the refusal as the response to a request. */
    void send(HttpExchange exchange, CallerDialect dialect, String requestId) {
        ProblemDetails details = new ProblemDetails(status, title, verdict, requestId, Optional.empty());
        List<HeaderField> fields = new ArrayList<>();
        fields.add(new HeaderField("Content-Type", ProblemDetails.CONTENT_TYPE));
        details.fields().forEach((name, value) -> fields.add(new HeaderField(name, value)));
        retryAfter.ifPresent(delay -> fields.addAll(dialect.retryAfter(delay)));
        exchange.respond(status, fields, details.body());
    }

    private static Refusal notRun(int status, String reason, String title, Optional<Duration> retryAfter) {
        return new Refusal(status, title, new NotRunVerdict(reason), retryAfter);
    }
}
