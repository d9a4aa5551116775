package org.copperspindle.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.http.ProblemDetails;

/**
 * HTTP endpoint for probes and metrics, which every role serves: {@code /livez}, {@code /readyz} and
 * {@code /metrics}, by GET or HEAD. Other paths are passed to the role's own handler.
 */
final class ProbeEndpoint implements HttpRequestHandler {

    private static final String JSON = "application/json";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final HttpRequestHandler next;

    ProbeEndpoint(BooleanSupplier ready, Supplier<String> metrics, HttpRequestHandler next) {
        this.ready = ready;
        this.metrics = metrics;
        this.next = next;
    }

    /** Returns a handler that responds with status 404 to every path. */
    static HttpRequestHandler notFound() {
        return exchange -> exchange.respond(ProblemDetails.notRun("unknown-path", 404, "no such path"));
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/livez" -> respond(exchange, OK, JSON, "{\"live\":true}");
            case "/readyz" -> {
                boolean isReady = ready.getAsBoolean();
                respond(exchange, isReady ? OK : UNAVAILABLE, JSON, "{\"ready\":" + isReady + "}");
            }
            case "/metrics" -> respond(exchange, OK, PROMETHEUS, metrics.get());
            default -> next.handle(exchange);
        }
    }

    private static void respond(HttpExchange exchange, int status, String contentType, String text) {
        if (!exchange.method().equals("GET") && !exchange.method().equals("HEAD")) {
            exchange.respond(ProblemDetails.notRun("method", 405, "only GET and HEAD are possible"));
            return;
        }
        exchange.respond(status, contentType, Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }
}
