package org.copperspindle.entry;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.http.ProblemDetails;
import org.copperspindle.measure.EntryMetrics;
import org.copperspindle.pipeline.RefusalVerdictPolicy;

/**
 * The callers' HTTP interface: {@code POST /v1/pipelines/NAME} and {@code POST /v1/services/NAME}. Failures are problem
 * details (RFC 9457) that carry the verdict.
 */
public final class EntryEndpoint implements HttpRequestHandler {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final EntryService entry;
    private final EntryMetrics measures;

    /**
     * Creates the endpoint.
     *
     * @param entry    serves the requests
     * @param measures counts refusals
     */
    public EntryEndpoint(EntryService entry, EntryMetrics measures) {
        this.entry = entry;
        this.measures = measures;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (!path.startsWith(CallerRequestReader.PIPELINES) && !path.startsWith(CallerRequestReader.SERVICES)) {
            refuse(exchange, ProblemDetails.notRun("unknown-path", 404, "no such path"));
        } else if (!exchange.method().equals("POST")) {
            refuse(exchange, ProblemDetails.notRun("method", 405, "only POST is possible"));
        } else {
            call(exchange);
        }
    }

    private void call(HttpExchange exchange) {
        CallerRequestResult result = CallerRequestReader.read(exchange);
        if (result instanceof CallerRequestResult.Refused refused) {
            refuse(exchange, refused.problem());
        } else if (result instanceof CallerRequestResult.Read read) {
            submit(exchange, read.request());
        }
    }

    private void submit(HttpExchange exchange, CallerRequest request) {
        Optional<String> requestId = entry.offer(request, new ExchangeSink(exchange, measures));
        if (requestId.isEmpty()) {
            // The ring is full. The network thread must not block on it, and nothing of the request was handed over.
            // Which pipelines are repeatable is not known on this thread.
            boolean mayBeResend = RefusalVerdictPolicy.mayBeResend(request.key().isPresent(), Optional.empty());
            refuse(exchange, overloaded(mayBeResend));
            return;
        }
        exchange.onClosed(() -> entry.callerLeft(requestId.get()));
    }

    private static ProblemDetails overloaded(boolean mayBeResend) {
        return new ProblemDetails(
                503,
                RefusalVerdictPolicy.title(mayBeResend, "entry overloaded"),
                RefusalVerdictPolicy.verdict(mayBeResend, "overload"),
                "",
                Optional.of(RETRY_AFTER));
    }

    private void refuse(HttpExchange exchange, ProblemDetails problem) {
        measures.refused(problem.verdict().reason());
        AccessLog.write(exchange, problem.requestId(), problem.status(), problem.verdict(), 0);
        exchange.respond(problem);
    }
}
