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

    private static final byte[] NONE = new byte[0];
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    private byte[] partial = NONE;
    private int length;
    private int lineStart;

    /**
     * Adds received bytes and returns the events that they complete. The bytes of a partial event are neither copied nor
     * searched again with each addition: an event may come in very many small parts.
     */
    List<StreamEvent> accept(byte[] data) {
        int next = length;
        append(data);
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        for (; next < length; next++) {
            if (partial[next] != LINE_FEED) {
                continue;
            }
            if (isBlankLine(next)) {
                events.add(parse(Arrays.copyOfRange(partial, start, next + 1)));
                start = next + 1;
            }
            lineStart = next + 1;
        }
        discard(start);
        return events;
    }

    /** Returns whether the buffer holds a partial event. */
    boolean hasPartialEvent() {
        return length > 0;
    }

    /** Returns the size of the partial event. */
    int partialBytes() {
        return length;
    }

    private boolean isBlankLine(int lineFeed) {
        return lineFeed == lineStart || lineFeed == lineStart + 1 && partial[lineStart] == CARRIAGE_RETURN;
    }

    private void append(byte[] data) {
        if (length + data.length > partial.length) {
            partial = Arrays.copyOf(partial, Math.max(length + data.length, 2 * length));
        }
        System.arraycopy(data, 0, partial, length, data.length);
        length += data.length;
    }

    /** Removes complete events, and the space that a large one took. */
    private void discard(int bytes) {
        if (bytes == 0) {
            return;
        }
        partial = bytes == length ? NONE : Arrays.copyOfRange(partial, bytes, length);
        length -= bytes;
        lineStart -= bytes;
    }

    private static StreamEvent parse(byte[] event) {
        boolean hasData = false;
        for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                return new StreamEvent(
                        event, parseId(line.substring(ID_FIELD.length()).trim()), true);
            }
            hasData |= isData(line);
        }
        return new StreamEvent(event, OptionalLong.empty(), hasData);
    }

    /** Returns whether a line is of the field data, which may lack a value. */
    private static boolean isData(String line) {
        return line.startsWith(DATA_FIELD + ':') || line.strip().equals(DATA_FIELD);
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // Event ids may be any text; only streams with numeric ids can be checked for gaps.
            return OptionalLong.empty();
        }
    }
}
