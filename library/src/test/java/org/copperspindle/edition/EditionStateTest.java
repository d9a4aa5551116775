package org.copperspindle.edition;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.control.ControlResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EditionStateTest {

    private final List<Long> seen = new ArrayList<>();
    private final EditionState state = new EditionState(edition -> seen.add(edition.version()));
    private long index;

    /**
     * Two operators send different texts under one number, or an older change arrives again. Whoever asks is told the
     * version in force; the text that was first under a number stands, and nothing goes back.
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
    void readChangesNothingAndTellsTheNewest() {
        put(3, "text");
        assertThat(state.apply(++index, 1, EditionState.READ)).isEqualTo(new ControlResult.ConfigAccepted(3));
        assertThat(seen).containsExactly(3L);
    }

    @Test
    void snapshotBringsTheTextBackUnchanged() {
        put(3, "text é");
        List<Long> restored = new ArrayList<>();
        EditionState other = new EditionState(edition -> restored.add(edition.version()));
        other.restore(state.snapshot());
        assertThat(new String(other.newest().orElseThrow().text(), StandardCharsets.UTF_8))
                .isEqualTo("text é");
        assertThat(restored).containsExactly(3L);
    }

    private ControlResult put(long version, String text) {
        EditionMessage edition = new EditionMessage(version, text.getBytes(StandardCharsets.UTF_8));
        return state.apply(++index, 1, EditionMessage.CODEC.encode(edition));
    }

    private String text() {
        return new String(state.newest().orElseThrow().text(), StandardCharsets.UTF_8);
    }
}
