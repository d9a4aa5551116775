package org.copperspindle.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.copperspindle.config.Priority;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.ProblemDetails;
import org.copperspindle.pipeline.RefusalVerdictPolicy;
import org.copperspindle.pipeline.StageContext;

/**
 * Parses a caller's HTTP request. Checks the syntax only; whether the account is authorized is checked later by
 * admission.
 */
final class CallerRequestReader {

    static final String PIPELINES = "/v1/pipelines/";
    static final String SERVICES = "/v1/services/";
    static final String EVENT_STREAM = "text/event-stream";

    private static final String AUTHORIZATION = "Authorization";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String DEADLINE = "Copperspindle-Deadline-Ms";
    private static final String PRIORITY = "Copperspindle-Priority";

    private static final String NOT_JSON = "not-json";

    /** Header fields that must not be repeated, because it would be ambiguous which value counts. */
    private static final List<String> SINGLE = List.of(AUTHORIZATION, IDEMPOTENCY_KEY, DEADLINE, PRIORITY);

    private static final Pattern BEARER = Pattern.compile("(?i:bearer) +([A-Za-z0-9._~+/-]+=*)");
    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,9}");
    private static final Pattern JSON_TYPE = Pattern.compile("(?i)application/([\\w.+-]+\\+)?json\\s*(;.*)?");

    private CallerRequestReader() {}

    /**
     * Parses a request.
     *
     * @param exchange a {@code POST} to a pipeline or service
     * @return the parsed request, or why it is malformed
     */
    static CallerRequestResult read(HttpExchange exchange) {
        CallerRequestResult result = parse(exchange);
        boolean keyed = exchange.header(IDEMPOTENCY_KEY)
                .filter(k -> KEY.matcher(k).matches())
                .isPresent();
        if (keyed
                && result instanceof CallerRequestResult.Refused refused
                && !refused.problem().verdict().reason().equals(NOT_JSON)) {
            return new CallerRequestResult.Refused(mayBeResend(refused.problem()));
        }
        return result;
    }

    /**
     * Turns a refusal into one that does not rule out an earlier run: an earlier request with the key may have had
     * other header fields and have run. This is not needed for a body that is not JSON, nor for an invalid key, because
     * no entry ever accepts those.
     */
    private static ProblemDetails mayBeResend(ProblemDetails problem) {
        return new ProblemDetails(
                problem.status(),
                RefusalVerdictPolicy.title(true, problem.title()),
                RefusalVerdictPolicy.verdict(true, problem.verdict().reason()),
                problem.requestId(),
                problem.retryAfter());
    }

    private static CallerRequestResult parse(HttpExchange exchange) {
        for (String field : SINGLE) {
            if (exchange.headerCount(field) > 1) {
                return refused("bad-request", 400, field + " is given more than once");
            }
        }
        boolean service = exchange.path().startsWith(SERVICES);
        Optional<String> key = exchange.header(IDEMPOTENCY_KEY);
        if (key.isPresent() && !KEY.matcher(key.get()).matches()) {
            return refused("bad-request", 400, IDEMPOTENCY_KEY + " is not 1 to 128 visible ASCII characters");
        }
        Optional<String> deadline = exchange.header(DEADLINE);
        if (deadline.isPresent() && !MILLISECONDS.matcher(deadline.get()).matches()) {
            return refused("bad-request", 400, DEADLINE + " is not a number of milliseconds");
        }
        Optional<String> priorityName = exchange.header(PRIORITY);
        Optional<Priority> priority = priorityName.flatMap(CallerRequestReader::priority);
        if (priorityName.isPresent() && priority.isEmpty()) {
            return refused("bad-request", 400, PRIORITY + " is not interactive, standard or batch");
        }
        Optional<ProblemDetails> problem = service ? Optional.empty() : checkMediaTypes(exchange);
        if (problem.isPresent()) {
            return new CallerRequestResult.Refused(problem.get());
        }
        return new CallerRequestResult.Read(new CallerRequest(
                exchange.path().substring((service ? SERVICES : PIPELINES).length()),
                service,
                bearer(exchange),
                key,
                deadline.map(millis -> Duration.ofMillis(Long.parseLong(millis))),
                priority,
                !service && accepts(exchange, EVENT_STREAM),
                exchange.body()));
    }

    private static Optional<ProblemDetails> checkMediaTypes(HttpExchange exchange) {
        Optional<String> type = exchange.header("Content-Type");
        if (type.isPresent() && !JSON_TYPE.matcher(type.get()).matches()) {
            return Optional.of(ProblemDetails.notRun("media-type", 415, "a pipeline takes application/json"));
        }
        if (!isObject(exchange.body())) {
            return Optional.of(ProblemDetails.notRun(NOT_JSON, 400, "the body is not one JSON object"));
        }
        boolean streaming = accepts(exchange, EVENT_STREAM);
        if (streaming && !exchange.supportsChunkedResponse()) {
            return Optional.of(ProblemDetails.notRun("http-version", 505, "server-sent events need HTTP/1.1"));
        }
        if (!streaming && !acceptsJson(exchange)) {
            return Optional.of(
                    ProblemDetails.notRun("not-acceptable", 406, "answers are application/json or text/event-stream"));
        }
        return Optional.empty();
    }

    /** Scans the whole text without building a tree. A body that fails here is known not to have run anywhere. */
    private static boolean isObject(byte[] body) {
        try (JsonParser parser = StageContext.JSON.createParser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return false;
            }
            parser.skipChildren();
            return parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean acceptsJson(HttpExchange exchange) {
        return exchange.header("Accept").isEmpty()
                || accepts(exchange, "application/json")
                || accepts(exchange, "application/*")
                || accepts(exchange, "*/*");
    }

    private static boolean accepts(HttpExchange exchange, String type) {
        return Arrays.stream(exchange.header("Accept").orElse("").split(","))
                .map(range -> range.replace(" ", "").toLowerCase(Locale.ROOT))
                .filter(range -> !range.matches(".*;q=0(\\.0*)?(;.*)?"))
                .anyMatch(range -> range.split(";", 2)[0].equals(type));
    }

    private static String bearer(HttpExchange exchange) {
        Matcher matcher =
                BEARER.matcher(exchange.header(AUTHORIZATION).orElse("").strip());
        return matcher.matches() ? matcher.group(1) : "";
    }

    private static Optional<Priority> priority(String text) {
        return Arrays.stream(Priority.values())
                .filter(p -> p.name().equalsIgnoreCase(text))
                .findFirst();
    }

    private static CallerRequestResult refused(String reason, int status, String title) {
        return new CallerRequestResult.Refused(ProblemDetails.notRun(reason, status, title));
    }
}
