package org.copperspindle.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.Verdict;

/**
 * An error response in the problem details format (RFC 9457), extended by a verdict on whether the request may have
 * run.
 *
 * @param status     HTTP status
 * @param title      short text for a human reader
 * @param verdict    whether the request may have run; its reason determines the problem type
 * @param requestId  id of the request, empty if it has none
 * @param retryAfter time after which the caller should retry
 */
public record ProblemDetails(
        int status, String title, Verdict verdict, String requestId, Optional<Duration> retryAfter) {

    /** Content type of the body. */
    public static final String CONTENT_TYPE = "application/problem+json";

    /** Header field of the verdict. */
    public static final String VERDICT_HEADER = "Copperspindle-Verdict";

    /** Header field of the request id. */
    public static final String REQUEST_ID_HEADER = "Copperspindle-Request-Id";

    /** Prefix of the type URIs; the reason follows. */
    public static final String TYPE_PREFIX = "urn:copperspindle:problem:";

    private static final int UNAUTHORIZED = 401;
    private static final int INTERNAL_ERROR = 500;

    /**
     * Creates the problem for a request that was refused before any part of it ran.
     *
     * @param reason stable name of the problem, in lower case with hyphens
     * @param status HTTP status
     * @param title  short text for a human reader
     * @return the details
     */
    public static ProblemDetails notRun(String reason, int status, String title) {
        return new ProblemDetails(status, title, new NotRunVerdict(reason), "", Optional.empty());
    }

    /**
     * Creates the problem for an unexpected failure of this process.
     *
     * @return the details, with a verdict that the request may have run
     */
    static ProblemDetails internalError() {
        return new ProblemDetails(
                INTERNAL_ERROR, "unexpected failure", new MayHaveRunVerdict("internal-error"), "", Optional.empty());
    }

    /**
     * Returns the JSON body.
     *
     * @return UTF-8 text
     */
    public byte[] body() {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("type", type())
                .put("title", title)
                .put("status", status)
                .put("verdict", verdict.label())
                .put("reason", verdict.reason());
        if (!requestId.isEmpty()) {
            body.put("request_id", requestId);
        }
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the problem type URI.
     *
     * @return a valid URI, whatever characters the reason contains
     */
    public String type() {
        String name = verdict.reason().toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9-]+", "-");
        return TYPE_PREFIX + (name.isEmpty() ? "failed" : name);
    }

    /**
     * Returns the header fields.
     *
     * @return values by name
     */
    public Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put(VERDICT_HEADER, verdict.label());
        if (!requestId.isEmpty()) {
            fields.put(REQUEST_ID_HEADER, requestId);
        }
        if (status == UNAUTHORIZED) {
            fields.put("WWW-Authenticate", "Bearer");
        }
        retryAfter.ifPresent(after -> fields.put("Retry-After", String.valueOf(Math.max(1, after.toSeconds()))));
        return fields;
    }
}
