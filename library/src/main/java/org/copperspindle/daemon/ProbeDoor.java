package org.copperspindle.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.http.ProblemDetails;

/**
 * What every role answers at its HTTP listener: {@code /livez}, {@code /readyz} and {@code /metrics}, by GET or HEAD.
 * Other paths go to the role's own interface.
 */
final class ProbeDoor implements HttpRequestHandler {

    private static final String JSON = "application/json";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final HttpRequestHandler next;

    ProbeDoor(BooleanSupplier ready, Supplier<String> metrics, HttpRequestHandler next) {
        this.ready = ready;
        this.metrics = metrics;
        this.next = next;
    }

    /** Answers the paths that no role has. */
    static HttpRequestHandler nothing() {
        return exchange -> exchange.respond(ProblemDetails.notRun("unknown-path", 404, "no such path"));
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/livez" -> answer(exchange, OK, JSON, "{\"live\":true}");
            case "/readyz" -> {
                boolean serves = ready.getAsBoolean();
                answer(exchange, serves ? OK : UNAVAILABLE, JSON, "{\"ready\":" + serves + "}");
            }
            case "/metrics" -> answer(exchange, OK, PROMETHEUS, metrics.get());
            default -> next.handle(exchange);
        }
    }

    private static void answer(HttpExchange exchange, int status, String contentType, String text) {
        if (!exchange.method().equals("GET") && !exchange.method().equals("HEAD")) {
            exchange.respond(ProblemDetails.notRun("method", 405, "only GET and HEAD are possible"));
            return;
        }
        exchange.respond(status, contentType, Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }
}
