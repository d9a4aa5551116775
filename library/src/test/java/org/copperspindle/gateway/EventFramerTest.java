package org.copperspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventFramerTest {

    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: bb\r\n\r\ndata: no id\n\nid: x\ndata: c\n\nid: 5\nda";

    /**
     * Chunks of the stream may end at any byte; an upstream that stops in the middle of an event leaves a partial
     * event.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 13, 1000})
    void splitsTheStreamIntoCompleteEvents(int size) {
        EventFramer framer = new EventFramer();
        List<StreamEvent> events = new ArrayList<>();
        byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < all.length; at += size) {
            events.addAll(framer.accept(Arrays.copyOfRange(all, at, Math.min(all.length, at + size))));
        }
        assertThat(events)
                .extracting(e -> new String(e.bytes(), StandardCharsets.UTF_8))
                .containsExactly(
                        "id: 1\ndata: a\n\n", "id: 2\r\ndata: bb\r\n\r\n", "data: no id\n\n", "id: x\ndata: c\n\n");
        assertThat(events).extracting(e -> e.id().orElse(-1)).containsExactly(1L, 2L, -1L, -1L);
        assertThat(framer.hasPartialEvent()).isTrue();
    }

    /** Guards against events that are held back for ever: lines may end with a carriage return alone, or in any mixture. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1000})
    void linesMayEndWithACarriageReturn(int size) {
        EventFramer framer = new EventFramer();
        List<StreamEvent> events = new ArrayList<>();
        byte[] all = "id: 1\rdata: a\r\rid: 2\rdata: b\r\n\ndata: c\n\rid: 4\r\r".getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < all.length; at += size) {
            events.addAll(framer.accept(Arrays.copyOfRange(all, at, Math.min(all.length, at + size))));
        }
        events.addAll(framer.end());
        assertThat(events)
                .extracting(e -> new String(e.bytes(), StandardCharsets.UTF_8))
                .containsExactly("id: 1\rdata: a\r\r", "id: 2\rdata: b\r\n\n", "data: c\n\r", "id: 4\r\r");
        assertThat(events).extracting(e -> e.id().orElse(-1)).containsExactly(1L, 2L, -1L, 4L);
        assertThat(framer.hasPartialEvent()).isFalse();
    }

    /** A comment, or a block without an id and data, is nothing that a caller waits for: it must not count as an event. */
    @ParameterizedTest
    @CsvSource({
        "':', false",
        "': data: x', false",
        "'event: ping', false",
        "'retry: 10', false",
        "'database: x', false",
        "'data: x', true",
        "'data', true",
        "'id: 1', true",
        "'id: x', true"
    })
    void onlyIdsAndDataAreContent(String line, boolean content) {
        for (String lineEnd : List.of("\n", "\r\n")) {
            byte[] event = (line + lineEnd + lineEnd).getBytes(StandardCharsets.UTF_8);
            assertThat(new EventFramer().accept(event))
                    .extracting(StreamEvent::hasContent)
                    .containsExactly(content);
        }
    }
}
