package org.copperspindle.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.config.Priority;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.StageContext;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * The callers' HTTP interface: {@code POST /v1/pipelines/NAME} and {@code POST /v1/services/NAME}. Failures are problem
 * details (RFC 9457) that carry the verdict.
 */
public final class EntryDoor implements HttpRequestHandler {

    /** Header field of the verdict. */
    public static final String VERDICT_HEADER = "Copperspindle-Verdict";

    /** Header field of the request's identity. */
    public static final String REQUEST_ID_HEADER = "Copperspindle-Request-Id";

    private static final String PIPELINES = "/v1/pipelines/";
    private static final String SERVICES = "/v1/services/";
    private static final String JSON = "application/json";
    private static final String PROBLEM = "application/problem+json";
    private static final String BEARER = "Bearer ";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int MAX_KEY_CHARS = 128;

    private final EntryService entry;

    /**
     * Creates the door.
     *
     * @param entry serves the requests
     */
    public EntryDoor(EntryService entry) {
        this.entry = entry;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals("/livez")) {
            exchange.respond(200, JSON, Map.of(), "{\"live\":true}".getBytes(StandardCharsets.UTF_8));
        } else if (path.equals("/readyz")) {
            int status = entry.ready() ? 200 : 503;
            exchange.respond(
                    status, JSON, Map.of(), ("{\"ready\":" + entry.ready() + "}").getBytes(StandardCharsets.UTF_8));
        } else if (path.startsWith(PIPELINES) || path.startsWith(SERVICES)) {
            call(exchange);
        } else {
            problem(exchange, "", notRun("unknown-path", 404, "no such path"));
        }
    }

    private void call(HttpExchange exchange) {
        if (!exchange.method().equals("POST")) {
            problem(exchange, "", notRun("method", 405, "only POST is possible"));
            return;
        }
        CallerRequest request;
        try {
            request = read(exchange);
        } catch (IllegalArgumentException e) {
            problem(exchange, "", notRun("bad-request", 400, e.getMessage()));
            return;
        }
        ExchangeSink sink = new ExchangeSink(exchange, request.streaming());
        Optional<String> requestId = entry.offer(request, sink);
        if (requestId.isEmpty()) {
            problem(
                    exchange,
                    "",
                    PipelineAnswer.failure(
                            new NotRunVerdict("overload"),
                            503,
                            "entry overloaded",
                            Optional.of(Duration.ofSeconds(1))));
            return;
        }
        exchange.onClosed(() -> entry.callerLeft(requestId.get()));
    }

    private static CallerRequest read(HttpExchange exchange) {
        boolean service = exchange.path().startsWith(SERVICES);
        String name = exchange.path().substring((service ? SERVICES : PIPELINES).length());
        String authorization = exchange.header("Authorization").orElse("");
        Optional<String> key = exchange.header("Idempotency-Key");
        key.ifPresent(k -> require(!k.isBlank() && k.length() <= MAX_KEY_CHARS, "Idempotency-Key has a bad length"));
        return new CallerRequest(
                name,
                service,
                authorization.startsWith(BEARER) ? authorization.substring(BEARER.length()) : "",
                key,
                exchange.header("Copperspindle-Deadline-Ms").map(EntryDoor::deadline),
                exchange.header("Copperspindle-Priority").map(EntryDoor::priority),
                exchange.header("Accept").filter(a -> a.contains(EVENT_STREAM)).isPresent(),
                exchange.body());
    }

    private static Duration deadline(String text) {
        require(text.matches("[0-9]{1,9}"), "Copperspindle-Deadline-Ms is not a number of milliseconds");
        return Duration.ofMillis(Long.parseLong(text));
    }

    private static Priority priority(String text) {
        String name = text.toUpperCase(Locale.ROOT);
        return Arrays.stream(Priority.values())
                .filter(p -> p.name().equals(name))
                .findFirst()
                .orElseThrow(() ->
                        new IllegalArgumentException("Copperspindle-Priority is not interactive, standard or batch"));
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    private static PipelineAnswer notRun(String reason, int status, String title) {
        return PipelineAnswer.failure(new NotRunVerdict(reason), status, title, Optional.empty());
    }

    private static void problem(HttpExchange exchange, String requestId, PipelineAnswer answer) {
        exchange.respond(answer.status(), PROBLEM, fields(requestId, answer), problemBody(requestId, answer));
    }

    private static byte[] problemBody(String requestId, PipelineAnswer answer) {
        ObjectNode body = StageContext.JSON
                .createObjectNode()
                .put("type", "about:blank")
                .put("title", answer.title())
                .put("status", answer.status())
                .put("verdict", answer.verdict().label())
                .put("reason", answer.verdict().reason())
                .put("request_id", requestId);
        try {
            return StageContext.JSON.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException("a tree of strings can always be written", e);
        }
    }

    private static Map<String, String> fields(String requestId, PipelineAnswer answer) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put(VERDICT_HEADER, answer.verdict().label());
        if (!requestId.isEmpty()) {
            fields.put(REQUEST_ID_HEADER, requestId);
        }
        answer.retryAfter()
                .ifPresent(after -> fields.put("Retry-After", String.valueOf(Math.max(1, after.toSeconds()))));
        return fields;
    }

    /** Writes one answer to its exchange. */
    private static final class ExchangeSink implements AnswerSink {
        private final HttpExchange exchange;
        private final boolean streaming;
        private boolean started;

        private ExchangeSink(HttpExchange exchange, boolean streaming) {
            this.exchange = exchange;
            this.streaming = streaming;
        }

        @Override
        public void piece(String text) {
            if (!started) {
                started = true;
                exchange.start(EVENT_STREAM, Map.of());
            }
            String json = StageContext.JSON.createObjectNode().put("text", text).toString();
            exchange.write("data: " + json + "\n\n");
        }

        @Override
        public void end(String requestId, PipelineAnswer answer) {
            if (started) {
                endStream(requestId, answer);
            } else if (answer.successful()) {
                exchange.respond(answer.status(), answer.contentType(), fields(requestId, answer), answer.body());
            } else {
                problem(exchange, requestId, answer);
            }
        }

        private void endStream(String requestId, PipelineAnswer answer) {
            if (!answer.successful()) {
                String details = new String(problemBody(requestId, answer), StandardCharsets.UTF_8);
                exchange.write("event: problem\ndata: " + details + "\n\n");
            } else {
                exchange.write("event: end\ndata: " + new String(answer.body(), StandardCharsets.UTF_8) + "\n\n");
            }
            exchange.finish();
        }
    }
}
