package org.copperspindle.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.ProblemDetails;
import org.copperspindle.measure.EntryMetrics;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.StageContext;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * Writes one response to its HTTP exchange: whole, or as server-sent events from the first chunk on.
 */
final class ExchangeSink implements AnswerSink {

    private final HttpExchange exchange;
    private final EntryMetrics measures;
    private final long since = System.nanoTime();
    private boolean started;

    ExchangeSink(HttpExchange exchange, EntryMetrics measures) {
        this.exchange = exchange;
        this.measures = measures;
    }

    @Override
    public void writeChunk(String text) {
        if (!started) {
            started = true;
            exchange.start(CallerRequestReader.EVENT_STREAM, Map.of());
        }
        String json = StageContext.JSON.createObjectNode().put("text", text).toString();
        exchange.write("data: " + json + "\n\n");
    }

    @Override
    public long waitingBytes() {
        return exchange.pendingBytes();
    }

    @Override
    public void end(String requestId, PipelineAnswer answer) {
        AccessLog.write(exchange, requestId, answer.status(), answer.verdict(), System.nanoTime() - since);
        if (answer.verdict() instanceof NotRunVerdict) {
            measures.refused(answer.verdict().reason());
        }
        ProblemDetails details =
                new ProblemDetails(answer.status(), answer.title(), answer.verdict(), requestId, answer.retryAfter());
        if (started) {
            endStream(details, answer);
        } else if (answer.successful()) {
            exchange.respond(answer.status(), answer.contentType(), details.fields(), answer.body());
        } else {
            exchange.respond(details);
        }
    }

    private void endStream(ProblemDetails details, PipelineAnswer answer) {
        if (answer.successful()) {
            exchange.write("event: end\ndata: " + new String(answer.body(), StandardCharsets.UTF_8) + "\n\n");
        } else {
            exchange.write("event: problem\ndata: " + new String(details.body(), StandardCharsets.UTF_8) + "\n\n");
        }
        exchange.finish();
    }
}
