package org.copperspindle.mesh;

import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class IsolationDetectorTest {

    private static final long SECOND = 1_000_000_000L;

    private final VirtualTimerService time = new VirtualTimerService();
    private int connected;
    private final IsolationDetector watch = new IsolationDetector(() -> connected, time);

    /**
     * A node loses connections to others at once. Where nearly all are gone, it is the one that is cut off: it refuses work
     * that the others go on with. Where many have died, the rest go on.
     */
    @ParameterizedTest
    @CsvSource({
        "7, 0, false",
        "7, 3, false",
        "7, 4, false",
        "7, 5, true",
        "7, 6, true",
        "8, 5, false",
        "24, 14, false",
        "24, 20, true"
    })
    void nodeThatLosesNearlyAllIsCutOff(int nodes, int lost, boolean cutOff) {
        connected = nodes - 1;
        for (int i = 0; i < lost; i++) {
            connected--;
            watch.onNodeDown(new MeshNode("n" + i));
        }
        assertThat(watch.isIsolated()).isEqualTo(cutOff);
    }

    /** The others come back, or stay away for long: either way the node serves again. */
    @Test
    void cutEndsWithTheOthersOrWithTime() {
        connected = 0;
        watch.onNodeDown(new MeshNode("a"));
        watch.onNodeDown(new MeshNode("b"));
        watch.onNodeDown(new MeshNode("c"));
        assertThat(watch.isIsolated()).isTrue();
        connected = 1;
        watch.onNodeUp(new MeshNode("a"));
        assertThat(watch.isIsolated()).isFalse();
        connected = 0;
        watch.onNodeDown(new MeshNode("a"));
        assertThat(watch.isIsolated()).isTrue();
        time.advance(9 * SECOND);
        assertThat(watch.isIsolated()).isFalse();
    }
}
