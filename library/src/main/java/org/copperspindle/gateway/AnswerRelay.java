package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;

/**
 * Passes a stream on to the caller, whole event by whole event. The head waits for the first event: until then the
 * request can still go to another upstream, or be answered with what went wrong. After a break the events of the next
 * upstream go on in the same answer, without those that the caller has.
 */
final class AnswerRelay {

    private final HttpExchange exchange;
    private final LongSupplier clock;
    private EventFramer framer = new EventFramer();
    private Optional<DirectHeadFields> head = Optional.empty();
    private boolean started;
    private OptionalLong lastId = OptionalLong.empty();
    private long events;
    private boolean gap;
    private OptionalLong firstAt = OptionalLong.empty();
    private long lastAt;
    private long longestPause;

    /**
     * Creates a relay that has passed nothing on.
     *
     * @param exchange the caller's request
     * @param clock    monotonic time in nanoseconds
     */
    AnswerRelay(HttpExchange exchange, LongSupplier clock) {
        this.exchange = exchange;
        this.clock = clock;
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

    /** Returns when the first event was passed on; empty if none was. */
    OptionalLong firstAt() {
        return firstAt;
    }

    /** Returns the longest time between two events. */
    long longestPauseNanos() {
        return longestPause;
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
        noteTime();
        if (event.id().isPresent()) {
            lastId = event.id();
        }
        exchange.write(event.bytes());
    }

    private void noteTime() {
        long now = clock.getAsLong();
        if (firstAt.isEmpty()) {
            firstAt = OptionalLong.of(now);
        } else {
            longestPause = Math.max(longestPause, now - lastAt);
        }
        lastAt = now;
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
