package org.copperspindle.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.control.ControlResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class VersionStateTest {

    private final RecordingObserver observed = new RecordingObserver();
    private final VersionState state = new VersionState(observed);
    private long index;

    /**
     * Two operators send different texts under one version number, or an older change arrives again. The response
     * names the version in force; the first text under a number stands, and no version is replaced by a lower one.
     */
    @ParameterizedTest
    @CsvSource({"7, first", "6, first", "8, second"})
    void highestVersionWinsAndTheFirstTextUnderANumberStands(long version, String expected) {
        put(7, "first");
        ControlResult result = put(version, "second");
        assertThat(result).isEqualTo(new ControlResult.ConfigAccepted(Math.max(7, version)));
        assertThat(text()).isEqualTo(expected);
    }

    @Test
    void readChangesNothingAndReturnsTheNewest() {
        put(3, "text");
        assertThat(state.apply(++index, 1, VersionState.READ)).isEqualTo(new ControlResult.ConfigAccepted(3));
        assertThat(observed.versions).containsExactly(3L);
    }

    @Test
    void snapshotPreservesTheText() {
        put(3, "text é");
        RecordingObserver restored = new RecordingObserver();
        VersionState other = new VersionState(restored);
        other.restore(state.snapshot());
        assertThat(text(other)).isEqualTo("text é");
        assertThat(restored.versions).containsExactly(3L);
        assertThat(restored.evacuations).isEmpty();
    }

    /** A member starts with a snapshot of a build without evacuations, which contains the newest version alone. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3})
    void snapshotOfAVersionAloneIsRead(long version) {
        byte[] old = VersionMessage.CODEC.encode(new VersionMessage(version, "text".getBytes(StandardCharsets.UTF_8)));
        state.restore(old);
        assertThat(state.held().version()).isEqualTo(version);
        assertThat(state.held().evacuations()).isEqualTo(EvacuationsMessage.NONE);
        assertThat(observed.versions).hasSize(version > 0 ? 1 : 0);
    }

    /**
     * Orders carry no number and may be resent after a lost response. The last one in the log wins, and an order that
     * changes nothing leaves the revision unchanged, so that nodes need not be notified.
     */
    @ParameterizedTest
    @CsvSource({
        "+a, 1, a",
        "+a +a, 1, a",
        "+a -a, 2, ''",
        "+a -a +a, 3, a",
        "-a, 0, ''",
        "+b +a -b -b, 3, a",
        "+a -a -a, 2, ''"
    })
    void lastOrderInTheLogWins(String orders, long revision, String evacuated) {
        for (String order : orders.split(" ")) {
            order(order.substring(1), order.startsWith("+"));
        }
        EvacuationsMessage held = state.held().evacuations();
        assertThat(held.revision()).isEqualTo(revision);
        assertThat(String.join(" ", held.failureDomains())).isEqualTo(evacuated);
        assertThat(observed.evacuations).hasSize((int) revision);
        VersionState other = new VersionState(new RecordingObserver());
        other.restore(state.snapshot());
        assertThat(other.held()).isEqualTo(state.held());
    }

    /** A faulty writer evacuates one failure domain after the other: the state of each node must stay bounded. */
    @Test
    void refusesMoreEvacuationsThanAnyDeploymentHas() {
        for (int i = 0; i < EvacuationsMessage.MAX_FAILURE_DOMAINS; i++) {
            assertThat(order("d" + i, true)).isInstanceOf(ControlResult.ConfigAccepted.class);
        }
        assertThat(order("one-more", true)).isInstanceOf(ControlResult.ConfigRefused.class);
        assertThat(order("d0", true)).isInstanceOf(ControlResult.ConfigAccepted.class);
        assertThat(order("d0", false)).isInstanceOf(ControlResult.ConfigAccepted.class);
        assertThat(order("one-more", true)).isInstanceOf(ControlResult.ConfigAccepted.class);
    }

    private ControlResult put(long version, String text) {
        VersionMessage newVersion = new VersionMessage(version, text.getBytes(StandardCharsets.UTF_8));
        return state.apply(++index, 1, VersionMessage.CODEC.encode(newVersion));
    }

    private ControlResult order(String failureDomain, boolean begins) {
        EvacuationCommand order = new EvacuationCommand(failureDomain, begins);
        return state.apply(++index, 1, EvacuationCommand.CODEC.encode(order));
    }

    private String text() {
        return text(state);
    }

    private static String text(VersionState source) {
        return new String(source.held().newestVersion().orElseThrow().text(), StandardCharsets.UTF_8);
    }

    /** Records the events that an observer receives. */
    private static final class RecordingObserver implements VersionObserver {
        private final List<Long> versions = new ArrayList<>();
        private final List<EvacuationsMessage> evacuations = new ArrayList<>();

        @Override
        public void onVersion(VersionMessage newVersion) {
            versions.add(newVersion.version());
        }

        @Override
        public void onEvacuations(EvacuationsMessage received) {
            evacuations.add(received);
        }
    }
}
