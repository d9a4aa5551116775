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
    private final IsolationDetector detector = new IsolationDetector(() -> connected, time);

    /**
     * A node loses connections to several others at once. If nearly all are gone, it is isolated and must refuse work
     * that the others continue. If many nodes have died, the rest must continue.
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
    void nodeThatLosesNearlyAllIsIsolated(int nodes, int lost, boolean isolated) {
        connected = nodes - 1;
        for (int i = 0; i < lost; i++) {
            connected--;
            detector.onNodeDown(new MeshNode("n" + i));
        }
        assertThat(detector.isIsolated()).isEqualTo(isolated);
    }

    /** The node serves again once other nodes reconnect, or once the lost ones no longer count. */
    @Test
    void isolationEndsWithReconnectionOrWithTime() {
        connected = 0;
        detector.onNodeDown(new MeshNode("a"));
        detector.onNodeDown(new MeshNode("b"));
        detector.onNodeDown(new MeshNode("c"));
        assertThat(detector.isIsolated()).isTrue();
        connected = 1;
        detector.onNodeUp(new MeshNode("a"));
        assertThat(detector.isIsolated()).isFalse();
        connected = 0;
        detector.onNodeDown(new MeshNode("a"));
        assertThat(detector.isIsolated()).isTrue();
        time.advance(9 * SECOND);
        assertThat(detector.isIsolated()).isFalse();
    }
}
