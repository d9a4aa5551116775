package org.copperspindle.gateway;

import java.util.function.IntFunction;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Streams that lose their engine while engines of several software versions serve: what two versions write does not
 * fit together.
 */
class ContinuedVersionTest {

    private static final int ENGINES = 6;

    /** After that long without a rejection, the version of a new stream is recorded. */
    private static final int RECORDED_MILLIS = 60;

    private final StreamHarness stream = new StreamHarness(true, true, ENGINES);

    @AfterEach
    void close() {
        stream.close();
    }

    /** Five engines of another version would take the stream; only the sixth may. */
    @Test
    void streamGoesOnAtTheVersionThatBeganIt() {
        announce(number -> "old");
        stream.startStream();
        int other = (begunAt() + 1) % ENGINES;
        announce(number -> number == begunAt() || number == other ? "old" : "new");
        stream.engines().last().crash();
        stream.makeResults();
        assertThat(stream.engines().last().sent().upstream()).isEqualTo("e" + other);
        stream.engines().last().head(200);
        stream.engines().last().events(3);
        stream.engines().last().end();
        assertThat(stream.events()).containsExactly(1, 2, 3);
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** No other engine of the version serves: the caller must learn it at once, without stages that run in vain. */
    @Test
    void streamWithoutAnEngineOfItsVersionIsBrokenOff() {
        announce(number -> "old");
        stream.startStream();
        announce(number -> number == begunAt() ? "old" : "new");
        stream.engines().last().crash();
        assertThat(stream.outcome()).isEqualTo("broken-software-gone");
        assertThat(stream.caller().isComplete()).isFalse();
        assertThat(stream.engines().count()).isEqualTo(1);
        assertThat(stream.stagesWait()).isFalse();
    }

    /** A silent engine is slow for its caller, but the only one that may go on: it must not be given up. */
    @Test
    void silentEngineIsKeptWithoutAnotherOfItsVersion() {
        announce(number -> "old");
        stream.startStream();
        announce(number -> number == begunAt() ? "old" : "new");
        stream.advance(10_000);
        assertThat(stream.engines().call(0).isOpen()).isTrue();
        stream.engines().last().events(3);
        stream.engines().last().end();
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Nothing has reached the caller yet: an engine of any version may take the request from its start. */
    @Test
    void requestWithoutAnEventMovesToAnotherVersion() {
        announce(number -> "old");
        stream.makeResults();
        int first = begunAt();
        announce(number -> number == first ? "old" : "new");
        stream.engines().last().head(200);
        stream.engines().last().crash();
        if (stream.stagesWait()) {
            stream.makeResults();
        }
        assertAnsweredByASecondEngine();
    }

    /**
     * Guards against two records of one stream, of which a start of all nodes may leave the older one only: once its version
     * is recorded, a request that fails before its first event goes to no engine of another one.
     */
    @Test
    void requestWhoseVersionIsRecordedStaysAtIt() {
        announce(number -> "old");
        stream.makeResults();
        int other = (begunAt() + 1) % ENGINES;
        announce(number -> number == begunAt() || number == other ? "old" : "new");
        stream.advance(RECORDED_MILLIS);
        stream.engines().last().crash();
        if (stream.stagesWait()) {
            stream.makeResults();
        }
        assertThat(stream.engines().last().sent().upstream()).isEqualTo("e" + other);
        stream.engines().last().crash();
        assertThat(stream.engines().count()).isEqualTo(2);
        assertThat(stream.outcome()).isEqualTo("software-gone");
    }

    /** Guards against a request that fails because its first engine, which it has never reached, was the last of its version. */
    @Test
    void requestThatReachesNoEngineMovesToAnotherVersion() {
        stream.engines().openSlowly();
        announce(number -> "old");
        stream.makeResults();
        int first = begunAt();
        announce(number -> number == first ? "old" : "new");
        stream.advance(RECORDED_MILLIS);
        stream.engines().last().failToConnect();
        assertAnsweredByASecondEngine();
    }

    /** Guards against a request that is rejected although engines of another version would run it. */
    @Test
    void requestThatIsRejectedAtOnceMovesToAnotherVersion() {
        announce(number -> "old");
        stream.makeResults();
        int first = begunAt();
        announce(number -> number == first ? "old" : "new");
        stream.engines().last().headOfRefusal(503);
        stream.engines().last().end();
        stream.advance(RECORDED_MILLIS);
        assertAnsweredByASecondEngine();
    }

    /** Guards against a stream of one version that is continued at another because its engine has changed under its id. */
    @Test
    void engineThatChangesItsVersionBeforeTheFirstEventBeginsNothing() {
        announce(number -> "old");
        stream.makeResults();
        int first = begunAt();
        stream.announce(first, "new");
        stream.engines().last().head(200);
        stream.engines().last().events(1);
        assertThat(stream.engines().call(0).isOpen()).isFalse();
        assertThat(stream.events()).isEmpty();
        if (stream.stagesWait()) {
            stream.makeResults();
        }
        stream.engines().last().head(200);
        stream.engines().last().events(1);
        stream.engines().last().end();
        assertThat(stream.engines().count()).isEqualTo(2);
        assertThat(stream.events()).containsExactly(1);
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Guards against events of two versions in one response: the engine that continues it changes under its id. */
    @Test
    void engineThatChangesItsVersionContinuesNothing() {
        announce(number -> "old");
        stream.startStream();
        stream.engines().last().crash();
        stream.makeResults();
        int second = Integer.parseInt(stream.engines().last().sent().upstream().substring(1));
        stream.announce(second, "new");
        stream.engines().last().head(200);
        stream.engines().last().events(3);
        assertThat(stream.engines().call(1).isOpen()).isFalse();
        assertThat(stream.events()).containsExactly(1, 2);
        assertThat(stream.engines().count()).isEqualTo(3);
        stream.engines().last().head(200);
        stream.engines().last().events(3);
        stream.engines().last().end();
        assertThat(stream.events()).containsExactly(1, 2, 3);
        assertThat(stream.caller().isComplete()).isTrue();
    }

    /** Guards against a stream that goes on although its engine announced another version while it wrote. */
    @Test
    void streamOfAnEngineThatHasChangedItsVersionIsBrokenOff() {
        announce(number -> "old");
        stream.startStream();
        stream.announce(begunAt(), "new");
        stream.engines().last().crash();
        assertThat(stream.outcome()).isEqualTo("broken-connection-closed");
        assertThat(stream.caller().isComplete()).isFalse();
        assertThat(stream.engines().count()).isEqualTo(1);
    }

    private void assertAnsweredByASecondEngine() {
        assertThat(stream.engines().count()).isEqualTo(2);
        stream.engines().last().head(200);
        stream.engines().last().events(1);
        stream.engines().last().end();
        assertThat(stream.caller().isComplete()).isTrue();
    }

    private int begunAt() {
        return Integer.parseInt(stream.engines().call(0).sent().upstream().substring(1));
    }

    private void announce(IntFunction<String> software) {
        for (int i = 0; i < ENGINES; i++) {
            stream.announce(i, software.apply(i));
        }
    }
}
