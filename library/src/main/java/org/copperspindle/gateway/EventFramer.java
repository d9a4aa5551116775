package org.copperspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a stream into complete events. An upstream that fails may stop in the middle of an event; a partial event
 * that was relayed to the caller could not be withdrawn when the stream continues on another upstream.
 */
final class EventFramer {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    private byte[] partial = new byte[0];

    /** Adds received bytes and returns the events that they complete. */
    List<StreamEvent> accept(byte[] data) {
        byte[] all = partial.length == 0 ? data : join(partial, data);
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        int end = endOfEvent(all, start, false);
        while (end > 0) {
            byte[] bytes = Arrays.copyOfRange(all, start, end);
            events.add(parse(bytes));
            start = end;
            end = endOfEvent(all, start, false);
        }
        partial = start == 0 ? all : Arrays.copyOfRange(all, start, all.length);
        return events;
    }

    /** Returns whether the buffer holds a partial event. */
    boolean hasPartialEvent() {
        return partial.length > 0;
    }

    /** Returns the size of the partial event. */
    int partialBytes() {
        return partial.length;
    }

    /**
     * Returns the event that the end of the stream completes: its blank line ends with a carriage return, which a line
     * feed could have followed until now.
     */
    List<StreamEvent> end() {
        if (partial.length == 0 || endOfEvent(partial, 0, true) != partial.length) {
            return List.of();
        }
        StreamEvent last = parse(partial);
        partial = new byte[0];
        return List.of(last);
    }

    /**
     * Returns the position after the next blank line, or -1. Lines end with a line feed, a carriage return, or both. One
     * that ends with the last byte received, a carriage return, is not complete unless the stream has ended.
     */
    private static int endOfEvent(byte[] bytes, int from, boolean ended) {
        int lineStart = from;
        for (int i = from; i < bytes.length; i++) {
            if (bytes[i] != LINE_FEED && bytes[i] != CARRIAGE_RETURN) {
                continue;
            }
            int lineEnd = i;
            if (bytes[i] == CARRIAGE_RETURN) {
                if (i + 1 == bytes.length && !ended) {
                    return -1;
                }
                if (i + 1 < bytes.length && bytes[i + 1] == LINE_FEED) {
                    i++;
                }
            }
            if (lineEnd == lineStart) {
                return i + 1;
            }
            lineStart = i + 1;
        }
        return -1;
    }

    private static StreamEvent parse(byte[] event) {
        boolean hasContent = false;
        OptionalLong id = OptionalLong.empty();
        for (String line : new String(event, StandardCharsets.UTF_8).split("\r\n|\n|\r")) {
            if (line.startsWith(ID_FIELD)) {
                // The last id of an event counts.
                id = StreamEvent.numericId(line.substring(ID_FIELD.length()).trim());
                hasContent = true;
            }
            hasContent |= isData(line);
        }
        return new StreamEvent(event, id, hasContent);
    }

    /** Returns whether a line is of the field data, which may lack a value. */
    private static boolean isData(String line) {
        return line.startsWith(DATA_FIELD + ':') || line.strip().equals(DATA_FIELD);
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
