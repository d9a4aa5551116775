package org.copperspindle.engineload;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EngineLoadTest {

    /**
     * Changes of streams alone must not use up the changes of a table between two regular ones, which then would not be
     * sent, but must reach the nodes with a regular table.
     */
    @ParameterizedTest
    @CsvSource({
        "100, 5, 1000, 0, false, false",
        "100, 6, 1000, 0, false, false",
        "100, 7, 1000, 0, true, false",
        "100, 0, 1000, 0, true, false",
        "101, 5, 1000, 0, true, true",
        "100, 5, 980, 0, true, true",
        "100, 5, 1000, 50, true, true"
    })
    void changesOfStreamsAloneWaitForRegularTables(
            long waitingTokens, long streams, long pace, long pauseMillis, boolean differs, boolean urgent) {
        EngineLoad load = new EngineLoad(waitingTokens, streams, pace, pauseMillis);
        EngineLoad known = new EngineLoad(100, 5, EngineLoad.MEDIAN_PACE, 0);
        assertThat(load.differsFrom(known)).isEqualTo(differs);
        assertThat(load.isUrgentAfter(known)).isEqualTo(urgent);
    }
}
