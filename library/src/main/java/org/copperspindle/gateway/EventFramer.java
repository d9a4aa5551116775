package org.copperspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts a stream into whole events. An upstream that fails may stop in the middle of one; a part of an event that reached
 * the caller could not be taken back when the stream goes on elsewhere.
 */
final class EventFramer {

    private static final byte LINE_FEED = '\n';
    private static final byte RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private byte[] rest = new byte[0];

    /** Takes bytes and returns the events that they complete. */
    List<StreamEvent> accept(byte[] data) {
        byte[] all = rest.length == 0 ? data : join(rest, data);
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        int end = endOfEvent(all, start);
        while (end > 0) {
            byte[] bytes = Arrays.copyOfRange(all, start, end);
            events.add(new StreamEvent(bytes, id(bytes)));
            start = end;
            end = endOfEvent(all, start);
        }
        rest = start == 0 ? all : Arrays.copyOfRange(all, start, all.length);
        return events;
    }

    /** Says whether a part of an event is left over. */
    boolean hasRest() {
        return rest.length > 0;
    }

    /** Returns the position behind the next blank line, or -1. */
    private static int endOfEvent(byte[] bytes, int from) {
        int lineStart = from;
        for (int i = from; i < bytes.length; i++) {
            if (bytes[i] != LINE_FEED) {
                continue;
            }
            boolean blank = i == lineStart || i == lineStart + 1 && bytes[lineStart] == RETURN;
            if (blank) {
                return i + 1;
            }
            lineStart = i + 1;
        }
        return -1;
    }

    private static OptionalLong id(byte[] event) {
        for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                return parse(line.substring(ID_FIELD.length()).trim());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parse(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // Ids may be any text; only streams whose ids are numbers can be checked for gaps.
            return OptionalLong.empty();
        }
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
