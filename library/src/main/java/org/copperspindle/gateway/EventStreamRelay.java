package org.copperspindle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;

/**
 * Relays an event stream from upstreams to the caller, one complete event at a time. The response head is sent with
 * the first event: until then the request can still be retried on another upstream, or answered with an error. After
 * a broken stream the events of the next upstream continue the same response, without those that the caller already
 * received.
 */
final class EventStreamRelay {

    private static final String CONTENT_TYPE = "Content-Type";

    /** Objects for one event that is kept, beside its bytes. */
    private static final int EVENT_BYTES = 64;

    private final HttpExchange exchange;
    private final LongSupplier clock;
    private EventFramer framer = new EventFramer(bytes -> false);
    private BufferedResponseMemory buffered;
    private Optional<ResponseHead> head = Optional.empty();
    private boolean started;
    private List<StreamEvent> unplaced = new ArrayList<>();
    private long unplacedBytes;
    private boolean placed;
    private boolean resumes;
    private OptionalLong lastEventId;
    private Optional<String> resumeAfter;
    private boolean endsWithoutId;
    private boolean endsHere;
    private long eventCount;
    private OptionalLong repeatedId = OptionalLong.empty();
    private boolean gapFound;
    private OptionalLong firstEventAt = OptionalLong.empty();
    private long lastEventAt;
    private long longestPause;

    /**
     * Creates a relay.
     *
     * @param exchange the caller's exchange
     * @param clock    monotonic time in nanoseconds
     * @param admitted the request, which names the last event that the caller holds if it takes a stream up
     */
    EventStreamRelay(HttpExchange exchange, LongSupplier clock, AdmittedRequest admitted) {
        this.exchange = exchange;
        this.clock = clock;
        this.resumeAfter = admitted.request().resumePoint().map(ResumePoint::lastEventId);
        // A stream that may not be resumed begins anew: its events are others than those that the caller holds.
        this.lastEventId = resumeAfter
                .filter(id -> admitted.route().resumable())
                .map(StreamEvent::numericId)
                .orElse(OptionalLong.empty());
    }

    /**
     * Starts reading the stream of an upstream. Its head becomes the head of the response, unless that has started.
     *
     * @param status HTTP status of the stream
     * @param fields header fields for the caller
     * @param memory memory of events that can't be passed on yet
     * @return false if the caller has already received the head of a response with another status or another type of
     *     content, which this stream can't continue
     */
    boolean beginStream(int status, List<HeaderField> fields, BufferedResponseMemory memory) {
        buffered = memory;
        framer = new EventFramer(bytes -> buffered.resize(bytes + unplacedBytes));
        // Neither describes the stream of another upstream.
        gapFound = false;
        repeatedId = OptionalLong.empty();
        dropUnplaced();
        placed = lastEventId.isEmpty();
        resumes = lastEventId.isPresent();
        ResponseHead received = new ResponseHead(status, fields);
        if (!started) {
            head = Optional.of(received);
        }
        return head.orElseThrow().isContinuedBy(received);
    }

    /**
     * Relays the events that these bytes complete, unless events are missing, there is no room for what can't be passed on
     * yet, or the response has been broken off.
     */
    void accept(byte[] data) {
        framer.accept(data, this::accept);
    }

    /**
     * Relays the event that the end of the stream completes, if there is one. Returns whether the stream ended at an
     * event boundary, without a gap in the event ids.
     */
    boolean end() {
        return framer.end(this::accept) && isComplete();
    }

    /** Drops the events that can't be passed on yet. */
    void clear() {
        framer.clear();
        dropUnplaced();
    }

    private boolean accept(StreamEvent event) {
        if (event.hasContent() && event.id().isEmpty()) {
            return acceptWithoutId(event);
        }
        placed |= event.id().isPresent();
        if (isDuplicate(event)) {
            repeatedId = resumes ? event.id() : OptionalLong.empty();
            dropUnplaced();
            return true;
        }
        gapFound |= isGap(event);
        if (gapFound) {
            return false;
        }
        if (placed) {
            sendUnplaced();
        }
        return send(event);
    }

    /** Relays an event without an id, unless it belongs to events that the caller has or may have. */
    private boolean acceptWithoutId(StreamEvent event) {
        if (!placed) {
            return keepUnplaced(event);
        }
        return endsInRepeatedEvents() || send(event);
    }

    private boolean keepUnplaced(StreamEvent event) {
        unplacedBytes += event.bytes().length + EVENT_BYTES;
        if (!buffered.resize(bufferedBytes())) {
            return false;
        }
        unplaced.add(event);
        return true;
    }

    private void dropUnplaced() {
        unplaced = new ArrayList<>();
        unplacedBytes = 0;
    }

    /** Returns the exchange of the caller. */
    HttpExchange exchange() {
        return exchange;
    }

    /** Returns how many bytes are buffered: those of an incomplete event, and of events that may be known to the caller. */
    long bufferedBytes() {
        return framer.partialBytes() + unplacedBytes;
    }

    /** Returns whether the event ids show that events are missing. */
    boolean hasGap() {
        return gapFound;
    }

    boolean hasStarted() {
        return started;
    }

    private boolean isComplete() {
        return !framer.hasPartialEvent() && !gapFound;
    }

    /**
     * Returns whether a stream that was to continue the response repeated events, but not up to the last one that the
     * caller has. It is not the same stream, although its upstream may have ended it properly.
     */
    boolean endsInRepeatedEvents() {
        return repeatedId.isPresent() && repeatedId.getAsLong() < lastEventId.orElseThrow();
    }

    /**
     * Returns whether another upstream can continue the response. It continues after the last event id, and would
     * repeat events that followed it without one.
     */
    boolean canContinue() {
        return !endsWithoutId && !endsHere;
    }

    /** Records that no other upstream may continue the response, since it is unknown which software wrote its events. */
    void endContinuation() {
        endsHere = true;
    }

    /** Returns the time at which the last event was relayed; empty if none was. */
    OptionalLong lastEventAt() {
        return firstEventAt.isPresent() ? OptionalLong.of(lastEventAt) : OptionalLong.empty();
    }

    /** Returns the id of the event after which the next upstream goes on; empty if it begins the stream. */
    Optional<String> resumeAfter() {
        return resumeAfter;
    }

    /** Returns the number of relayed events, without comments. */
    long eventCount() {
        return eventCount;
    }

    /** Returns the time at which the first event was relayed; empty if none was. */
    OptionalLong firstEventAt() {
        return firstEventAt;
    }

    /** Returns the longest time between two consecutive events. */
    long longestPauseNanos() {
        return longestPause;
    }

    void finish() {
        sendUnplaced();
        if (!started) {
            start();
        }
        exchange.finish();
    }

    /** Relays an event; returns false if the response has been broken off because memory is short. */
    private boolean send(StreamEvent event) {
        if (!started) {
            start();
        }
        if (event.hasContent()) {
            record(event);
        }
        return exchange.write(event.bytes()) || !exchange.wasShed();
    }

    private void sendUnplaced() {
        // A write that makes memory short drops what is kept.
        List<StreamEvent> ready = unplaced;
        dropUnplaced();
        ready.forEach(this::send);
    }

    private void record(StreamEvent event) {
        eventCount++;
        recordTime();
        endsWithoutId = event.id().isEmpty();
        if (event.id().isPresent()) {
            lastEventId = event.id();
            resumeAfter = Optional.of(Long.toString(event.id().getAsLong()));
            repeatedId = OptionalLong.empty();
        }
    }

    private void recordTime() {
        long now = clock.getAsLong();
        if (firstEventAt.isEmpty()) {
            firstEventAt = OptionalLong.of(now);
        } else {
            longestPause = Math.max(longestPause, now - lastEventAt);
        }
        lastEventAt = now;
    }

    private void start() {
        started = true;
        ResponseHead response = head.orElseThrow();
        exchange.start(response.status(), response.fields());
    }

    private boolean isDuplicate(StreamEvent event) {
        return lastEventId.isPresent() && event.id().isPresent() && event.id().getAsLong() <= lastEventId.getAsLong();
    }

    private boolean isGap(StreamEvent event) {
        return lastEventId.isPresent()
                && event.id().isPresent()
                && event.id().getAsLong() != lastEventId.getAsLong() + 1;
    }

    private record ResponseHead(int status, List<HeaderField> fields) {
        boolean isContinuedBy(ResponseHead other) {
            return status == other.status && mediaType().equals(other.mediaType());
        }

        /** Returns the type of the content without its parameters; empty if none is stated. */
        private Optional<String> mediaType() {
            return fields.stream()
                    .filter(field -> field.hasName(CONTENT_TYPE))
                    .findFirst()
                    .map(field -> field.value().split(";", 2)[0].strip().toLowerCase(Locale.ROOT));
        }
    }
}
