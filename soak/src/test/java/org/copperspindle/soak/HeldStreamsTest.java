package org.copperspindle.soak;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The ledger must see what it is there for: a judge that never finds anything would pass every soak.
 */
class HeldStreamsTest {

    private static final List<long[]> CALM = List.of();

    private final HeldStreams held = new HeldStreams();
    private final SoakRequest stream = SoakRequest.of(1, SoakRequest.RESUME, "a", 1);

    /** A node went on at another version within one response. */
    @Test
    void eventsOfTwoVersionsInOneAnswerAreFound() {
        held.began(stream.id(), event("v1", 1) + event("v2", 2));
        assertThat(held.broken(CALM)).singleElement().asString().contains("[v1, v2]");
    }

    /** A caller took the stream up, and was sent to another version. */
    @Test
    void eventsOfTwoVersionsOverTwoRequestsAreFound() {
        held.began(stream.id(), event("v1", 1));
        held.tookUp(stream.id(), event("v2", 2), 0, 0, 1);
        assertThat(held.broken(CALM)).hasSize(1);
    }

    /** An event that is cut off has no version yet. */
    @Test
    void streamOfOneVersionBreaksNothing() {
        held.began(stream.id(), event("v1", 1) + "id: 2\ndata: cut");
        held.tookUp(stream.id(), event("v1", 2), 2, 0, 1);
        assertThat(held.broken(CALM)).isEmpty();
    }

    /** An event is missing, or came before, in one answer. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void eventsOutOfOrderInOneAnswerAreFound(int second) {
        held.began(stream.id(), event("v1", 1) + event("v1", second));
        assertThat(held.broken(CALM)).singleElement().asString().contains("event " + second + " after 1");
    }

    /** A node sent the caller that took the stream up what it held, or left something out. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void eventsOutOfOrderOverTwoRequestsAreFound(int next) {
        held.holds(stream.id(), event("v1", 1) + event("v1", 2));
        held.holds(stream.id(), event("v1", next));
        assertThat(held.broken(CALM)).singleElement().asString().contains("event " + next + " after 2");
    }

    /** All new streams begin, and of twelve that are taken up fewer than half go on. */
    @Test
    void streamsThatDoNotGoOnAreFound() {
        for (int i = 0; i < 12; i++) {
            held.began("s" + i, event("v1", 1));
            held.tookUp("s" + i, i < 5 ? event("v1", 2) : "", 2, 0, 1);
        }
        assertThat(held.broken(CALM)).singleElement().asString().startsWith("taken up");
        assertThat(held.broken(List.of(new long[] {0, 1})))
                .as("while nodes are disturbed")
                .isEmpty();
    }

    @Test
    void versionsAreRemovedFromWhatIsCompared() {
        String body = event("v1", 1) + event("v12", 2);
        assertThat(HeldStreams.unsigned(body)).isEqualTo(stream.event(1) + stream.event(2));
        assertThat(HeldStreams.events(body)).containsEntry(1, "v1").containsEntry(2, "v12");
    }

    private String event(String software, int number) {
        return HeldStreams.writtenBy(software, stream.event(number));
    }
}
