package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;

/**
 * Passes a stream on to the caller, whole event by whole event. The head waits for the first event: until then the
 * request can still go to another upstream, or be answered with what went wrong. After a break the events of the next
 * upstream go on in the same answer, without those that the caller has.
 */
final class AnswerRelay {

    private final HttpExchange exchange;
    private EventFramer framer = new EventFramer();
    private Optional<DirectHeadFields> head = Optional.empty();
    private boolean started;
    private OptionalLong lastId = OptionalLong.empty();
    private long events;
    private boolean gap;

    AnswerRelay(HttpExchange exchange) {
        this.exchange = exchange;
    }

    /** Begins with the stream of an upstream; the first one's head is the answer's. */
    void begin(int status, List<HeaderField> fields) {
        framer = new EventFramer();
        if (head.isEmpty()) {
            head = Optional.of(new DirectHeadFields(status, fields));
        }
    }

    /** Forgets the head of an upstream that failed before its first event. */
    void forgetHead() {
        if (!started) {
            head = Optional.empty();
        }
    }

    /** Passes on the events that some bytes complete; returns false if an event is missing between them. */
    boolean accept(byte[] data) {
        for (StreamEvent event : framer.accept(data)) {
            if (isRepeated(event)) {
                continue;
            }
            gap |= isGap(event);
            if (gap) {
                return false;
            }
            send(event);
        }
        return true;
    }

    boolean hasStarted() {
        return started;
    }

    /** Says whether the stream ended between two events. */
    boolean isWhole() {
        return !framer.hasRest() && !gap;
    }

    OptionalLong lastId() {
        return lastId;
    }

    long events() {
        return events;
    }

    void finish() {
        if (!started) {
            start();
        }
        exchange.finish();
    }

    private void send(StreamEvent event) {
        if (!started) {
            start();
        }
        events++;
        if (event.id().isPresent()) {
            lastId = event.id();
        }
        exchange.write(event.bytes());
    }

    private void start() {
        started = true;
        DirectHeadFields first = head.orElseThrow();
        exchange.start(first.status(), first.fields());
    }

    private boolean isRepeated(StreamEvent event) {
        return lastId.isPresent() && event.id().isPresent() && event.id().getAsLong() <= lastId.getAsLong();
    }

    private boolean isGap(StreamEvent event) {
        return lastId.isPresent() && event.id().isPresent() && event.id().getAsLong() != lastId.getAsLong() + 1;
    }

    private record DirectHeadFields(int status, List<HeaderField> fields) {}
}
