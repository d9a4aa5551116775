package org.copperspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

import org.copperspindle.http.BodyBuffer;

/**
 * Splits a stream into complete events. An upstream that fails may stop in the middle of an event; a partial event
 * that was relayed to the caller could not be withdrawn when the stream continues on another upstream.
 */
final class EventFramer {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    private final BodyBuffer partial = new BodyBuffer(BufferedResponseMemory.MAX_BYTES);
    private final LongPredicate room;
    private boolean atLineStart = true;
    private boolean afterReturn;

    /**
     * Creates a framer.
     *
     * @param room asked for the memory of a partial event, in bytes, before it is held
     */
    EventFramer(LongPredicate room) {
        this.room = room;
    }

    /**
     * Adds received bytes and passes on the events that they complete. The bytes of a partial event are neither copied nor
     * searched again with each addition: an event may come in very many small parts.
     *
     * @param data     the bytes
     * @param consumer receives events, and returns false to stop
     * @return false if it was stopped, or if there is no room for a partial event
     */
    boolean accept(byte[] data, Predicate<StreamEvent> consumer) {
        int start = 0;
        for (int end = eventEnd(data, 0); end >= 0; end = eventEnd(data, start)) {
            if (!complete(data, start, end, consumer)) {
                return false;
            }
            start = end;
        }
        return start == data.length || append(data, start, data.length);
    }

    /** Returns whether the buffer holds a partial event. */
    boolean hasPartialEvent() {
        return partial.size() > 0;
    }

    /** Returns the memory that the partial event takes. */
    int partialBytes() {
        return partial.capacity();
    }

    /** Drops the partial event. */
    void clear() {
        partial.clear();
    }

    /**
     * Passes on the event that the end of the stream completes: its blank line ends with a carriage return, which a line
     * feed could have followed until now.
     *
     * @param consumer receives the event
     * @return false if the consumer does
     */
    boolean end(Predicate<StreamEvent> consumer) {
        boolean complete = afterReturn && atLineStart && hasPartialEvent();
        return !complete || consumer.test(parse(partial.take()));
    }

    private boolean complete(byte[] data, int start, int end, Predicate<StreamEvent> consumer) {
        if (!hasPartialEvent()) {
            return consumer.test(parse(Arrays.copyOfRange(data, start, end)));
        }
        return append(data, start, end) && consumer.test(parse(partial.take()));
    }

    private boolean append(byte[] data, int start, int end) {
        int capacity = partial.capacityFor(end - start);
        if (capacity > partial.capacity() && !room.test(capacity)) {
            return false;
        }
        partial.append(data, start, end);
        return true;
    }

    /**
     * Returns the position after the next event, which ends with a blank line; -1 if none is complete. Lines end with a line
     * feed, a carriage return, or both. One that ends with the last byte received, a carriage return, is not complete.
     */
    private int eventEnd(byte[] data, int from) {
        for (int at = from; at < data.length; at++) {
            byte next = data[at];
            boolean endsBefore = afterReturn && next != LINE_FEED;
            if (endsBefore && endLine()) {
                return at;
            }
            if (next == LINE_FEED) {
                if (endLine()) {
                    return at + 1;
                }
            } else if (next == CARRIAGE_RETURN) {
                afterReturn = true;
            } else {
                atLineStart = false;
            }
        }
        return -1;
    }

    /** Ends a line and returns whether it was blank. */
    private boolean endLine() {
        boolean blank = atLineStart;
        atLineStart = true;
        afterReturn = false;
        return blank;
    }

    private static StreamEvent parse(byte[] event) {
        boolean hasContent = false;
        OptionalLong id = OptionalLong.empty();
        int start = 0;
        for (int end = lineEnd(event, 0); start < event.length; end = lineEnd(event, start)) {
            // One line at a time: an event of many short lines would take many times its size.
            String line = new String(event, start, end - start, StandardCharsets.UTF_8);
            if (line.startsWith(ID_FIELD)) {
                // The last id of an event counts.
                id = StreamEvent.numericId(line.substring(ID_FIELD.length()).trim());
                hasContent = true;
            }
            hasContent |= isData(line);
            start = end + 1;
        }
        return new StreamEvent(event, id, hasContent);
    }

    /** Returns the position of the next line feed or carriage return; the length if there is none. */
    private static int lineEnd(byte[] event, int start) {
        int end = start;
        while (end < event.length && event[end] != LINE_FEED && event[end] != CARRIAGE_RETURN) {
            end++;
        }
        return end;
    }

    /** Returns whether a line is of the field data, which may lack a value. */
    private static boolean isData(String line) {
        return line.startsWith(DATA_FIELD + ':') || line.strip().equals(DATA_FIELD);
    }
}
