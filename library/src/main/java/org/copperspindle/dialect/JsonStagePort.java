package org.copperspindle.dialect;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.batch.StageCallResult;
import org.copperspindle.batch.StageItem;
import org.copperspindle.batch.StagePort;
import org.copperspindle.direct.ConnectionUse;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectFailure;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.direct.DirectListener;
import org.copperspindle.direct.EarlierResponses;
import org.copperspindle.direct.ResponseBound;
import org.copperspindle.direct.ResponseCheck;
import org.copperspindle.direct.ResponseProof;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DepartureListener;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.http.HeaderField;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Sends calls with JSON bodies to stage upstreams.
 */
public final class JsonStagePort implements StagePort {

    private static final Logger LOGGER = LogManager.getLogger(JsonStagePort.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long RELEASE_TIMEOUT_MILLIS = 2000;

    /** Limit on a handle, which names an address and a number, in characters. */
    private static final int MAX_HANDLE_CHARS = 512;

    private final StageCallFormat format;
    private final HeaderNames names;
    private final UpstreamPort port;
    private final TimerService timers;
    private final DepartureListener departures;

    /**
     * Creates the port.
     *
     * @param format     format of the calls
     * @param names      names of header fields
     * @param port       sends calls
     * @param timers     timers on the network thread
     * @param departures receives the departure of each upstream for whose address another one answers
     */
    public JsonStagePort(
            StageCallFormat format,
            HeaderNames names,
            UpstreamPort port,
            TimerService timers,
            DepartureListener departures) {
        this.format = format;
        this.names = names;
        this.port = port;
        this.timers = timers;
        this.departures = departures;
    }

    @Override
    public void run(
            UpstreamRecord upstream, List<StageItem> items, long timeoutMillis, Consumer<StageCallResult> callback) {
        // Results of a second run of the call before could not be told from those of this call.
        ConnectionUse use = ConnectionUse.KEPT_AFTER_OTHER;
        ResponseReader reader = new ResponseReader(upstream, items, callback);
        call(upstream, format.runPath(), use, format.write(items), timeoutMillis, reader);
    }

    @Override
    public void releaseResults(UpstreamRecord upstream, List<String> handles, Runnable callback) {
        ResponseReader reader = new ResponseReader(upstream, List.of(), result -> {
            if (!(result instanceof StageCallResult.Answered)) {
                LOGGER.debug("event=results-not-freed upstream={} result={}", upstream.id(), result);
            }
            callback.run();
        });
        JsonNode body = format.writeRelease(handles);
        call(upstream, format.releasePath(), ConnectionUse.KEPT, body, RELEASE_TIMEOUT_MILLIS, reader);
    }

    private void call(
            UpstreamRecord upstream,
            String path,
            ConnectionUse use,
            JsonNode body,
            long timeoutMillis,
            ResponseReader reader) {
        List<HeaderField> fields = List.of(
                new HeaderField(HeaderFields.HOST, upstream.address()),
                new HeaderField(HeaderFields.CONTENT_TYPE, JsonText.CONTENT_TYPE),
                new HeaderField(names.expectedUpstream(), upstream.id()));
        DirectCall call = new DirectCall(
                upstream.id(),
                upstream.address(),
                "POST",
                path,
                fields,
                body.toString().getBytes(StandardCharsets.UTF_8),
                "",
                ResponseCheck.CONTENT,
                use);
        reader.timeout = timers.schedule(timeoutMillis * NANOS_PER_MILLI, reader::timedOut);
        reader.handle = port.call(call, reader);
    }

    private static boolean hasShortHandles(List<PieceOutcome> outcomes) {
        return outcomes.stream()
                .noneMatch(outcome -> outcome instanceof PieceOutcome.Made made
                        && made.handle().length() > MAX_HANDLE_CHARS);
    }

    private static StageCallResult unreadable() {
        return new StageCallResult.Lost("answer-unreadable", false);
    }

    /** Collects the response to one call. */
    private final class ResponseReader implements DirectListener {
        private static final int MISDIRECTED = 421;

        /** Limit on a response without the outcomes of pieces, in bytes. */
        private static final int MAX_BASE_BYTES = 64 << 10;

        /** Limit on the outcome of one piece, which is a handle or a reason, in bytes. */
        private static final int MAX_OUTCOME_BYTES = 4 << 10;

        private final UpstreamRecord upstream;
        private final List<StageItem> items;
        private final Consumer<StageCallResult> callback;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private TimerSubscription timeout = () -> {};
        private UpstreamPort.CallHandle handle = reason -> {};
        private DirectHead head;
        private StageCallResult ownResult;
        private boolean ended;

        private ResponseReader(UpstreamRecord upstream, List<StageItem> items, Consumer<StageCallResult> callback) {
            this.upstream = upstream;
            this.items = items;
            this.callback = callback;
        }

        @Override
        public void onHead(DirectHead received) {
            head = received;
        }

        @Override
        public void onData(byte[] data) {
            if (ended) {
                return;
            }
            body.writeBytes(data);
            int limit = MAX_BASE_BYTES + items.size() * MAX_OUTCOME_BYTES;
            if (body.size() > limit) {
                handle.abortExceeded(ResponseBound.BODY, limit);
                end(new StageCallResult.Lost("answer-too-large", false));
            }
        }

        @Override
        public ResponseProof proof(EarlierResponses earlier) {
            ownResult = result();
            if (!(ownResult instanceof StageCallResult.Answered answered)) {
                return ResponseProof.UNPROVEN;
            }
            if (items.isEmpty()) {
                return outcomes().filter(list -> !list.isEmpty()).isPresent()
                        ? ResponseProof.FOREIGN
                        : ResponseProof.OWN;
            }
            return StageResponseProof.of(answered.outcomes(), earlier);
        }

        @Override
        public void onEnd() {
            if (!ended && isReplaced()) {
                // Before the result, after which the pieces are sent again.
                departures.onLeft(upstream.id(), upstream.incarnation(), DepartureListener.ADDRESS_TAKEN);
            }
            end(ownResult);
        }

        private boolean isReplaced() {
            return head.status() == MISDIRECTED
                    && head.field(names.answeringUpstream())
                            .filter(id -> !id.equals(upstream.id()))
                            .isPresent();
        }

        @Override
        public void onFailure(DirectFailure failure) {
            if (failure.memoryShort()) {
                end(new StageCallResult.BrokenOff("memory-short"));
                return;
            }
            String reason = failure.sent() ? failure.reason() : "unsent-" + failure.reason();
            boolean mayHaveTerminated = failure.sent() && failure.connectionLost();
            end(new StageCallResult.Lost(reason, mayHaveTerminated));
        }

        private void timedOut() {
            handle.abort("timeout");
            end(new StageCallResult.Lost("timeout", false));
        }

        private void end(StageCallResult result) {
            if (!ended) {
                ended = true;
                timeout.cancel();
                callback.accept(result);
            }
        }

        private StageCallResult result() {
            if (head.status() == MISDIRECTED || head.field(names.notRun()).isPresent()) {
                return new StageCallResult.NotRun("status-" + head.status());
            }
            if (!head.isSuccess()) {
                return new StageCallResult.Lost("status-" + head.status(), false);
            }
            return items.isEmpty()
                    ? new StageCallResult.Answered(List.of())
                    : outcomes()
                            .filter(JsonStagePort::hasShortHandles)
                            .map(this::requireAllOutcomes)
                            .orElseGet(JsonStagePort::unreadable);
        }

        /** Returns the outcomes of pieces in the body; empty if there are none or it can't be read. */
        private Optional<List<PieceOutcome>> outcomes() {
            try {
                return Optional.of(format.read(JsonText.read(body.toByteArray())));
            } catch (IOException e) {
                LOGGER.debug("event=stage-answer-unreadable reason=\"{}\"", e.getMessage());
                return Optional.empty();
            }
        }

        private StageCallResult requireAllOutcomes(List<PieceOutcome> outcomes) {
            if (outcomes.size() != items.size()) {
                // Outcomes are matched to pieces by position: with one missing, the others cannot be assigned.
                return new StageCallResult.Lost("answer-incomplete", false);
            }
            return new StageCallResult.Answered(outcomes);
        }
    }
}
