package org.copperspindle.gateway;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What the second engine of a stream sends, when it is not exactly the rest of the stream.
 */
class ContinuedEventsTest {

    private static final int ENGINES = 4;

    private final StreamHarness stream = new StreamHarness(true, true, ENGINES);

    @AfterEach
    void close() {
        stream.close();
    }

    /** Guards against a response of another type that becomes part of a stream, or is taken for its end. */
    @ParameterizedTest
    @ValueSource(strings = {"application/json", "text/html; charset=utf-8", "text/event-stream-2"})
    void responseOfAnotherTypeIsNotPartOfTheStream(String type) {
        stream.startStream();
        stream.engines().last().crash();
        stream.makeResults();
        ScriptedEngines.Call second = stream.engines().last();
        second.headOfType(type);
        if (second.isOpen()) {
            second.data("{}\n\n");
            second.end();
        }
        assertThat(stream.caller().isComplete()).isFalse();
        assertThat(stream.caller().received()).doesNotContain("{}");
        resume(3);
        stream.engines().last().end();
        assertThat(stream.events()).containsExactly(1, 2, 3);
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Guards against a continuation that is refused for the parameters of its type. */
    @Test
    void parametersOfTheTypeMayDiffer() {
        stream.startStream();
        stream.engines().last().crash();
        stream.makeResults();
        stream.engines().last().headOfType("Text/Event-Stream; charset=utf-8");
        stream.engines().last().events(3);
        stream.engines().last().end();
        assertThat(stream.events()).containsExactly(1, 2, 3);
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Guards against an event without an id that its caller gets twice, between events that are known to be repeated. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 1\n\ndata: extra\n\nid: 2\n\n", "data: extra\n\nid: 1\n\nid: 2\n\n"})
    void repeatedEventWithoutAnIdIsNotRelayed(String begin) {
        start(begin);
        stream.engines().last().crash();
        stream.makeResults();
        stream.engines().last().head(200);
        stream.engines().last().data(begin);
        stream.engines().last().events(3);
        stream.engines().last().end();
        assertThat(stream.caller().received()).containsOnlyOnce("extra");
        assertThat(stream.events()).containsExactly(1, 2, 3);
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Guards against an event without an id that is lost because it follows the last event of the first engine. */
    @ParameterizedTest
    @ValueSource(strings = {"data: extra\n\n", "data: extra\n\nid: 3\n\n", "id: 2\n\ndata: extra\n\nid: 3\n\n"})
    void newEventWithoutAnIdIsRelayed(String rest) {
        stream.startStream();
        stream.engines().last().crash();
        stream.makeResults();
        stream.engines().last().head(200);
        stream.engines().last().data(rest);
        stream.engines().last().end();
        assertThat(stream.caller().received()).containsOnlyOnce("extra");
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Guards against an event that its caller gets twice: the last of several ids of an event is its id. */
    @Test
    void lastOfSeveralIdsIsTheOneToResumeAfter() {
        start("id: 1\nid: 2\ndata: b\n\n");
        stream.engines().last().crash();
        assertThat(stream.stagesWait()).isTrue();
        resume(2, 3);
        stream.engines().last().end();
        assertThat(stream.events()).containsExactly(1, 2, 3);
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Guards against events whose ids are not seen: lines may end with a carriage return alone, or in any mixture. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "id: 1\rdata: a\n\nid: 2\rdata: b\n\n"})
    void linesMayEndWithACarriageReturn(String events) {
        start("id: 1\ndata: a\n\n");
        stream.engines().last().crash();
        stream.makeResults();
        stream.engines().last().head(200);
        stream.engines().last().data(events);
        stream.engines().last().end();
        assertThat(stream.caller().received()).containsOnlyOnce("data: a").containsOnlyOnce("data: b");
        assertThat(stream.caller().isComplete()).isTrue();
    }

    private void start(String data) {
        stream.advance(300);
        stream.makeResults();
        stream.engines().last().head(200);
        stream.engines().last().data(data);
    }

    private void resume(int... ids) {
        if (stream.stagesWait()) {
            stream.makeResults();
        }
        stream.engines().last().head(200);
        stream.engines().last().events(ids);
    }
}
