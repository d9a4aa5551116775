package org.copperspindle.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.loopback.LoopbackHost;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class NodePortsTest {

    /**
     * Ports are drawn while nobody listens on those that were drawn before. Two nodes that got the same one, or one node for two of its
     * doors, made a process end as it started, and the soak told that it had ended by itself.
     */
    @Test
    void noPortIsGivenTwice() throws IOException {
        LoopbackHost loopback = LoopbackHost.open();
        List<Integer> given = new ArrayList<>();
        for (int number = 0; number < 200; number++) {
            NodePorts ports = NodePorts.free(loopback, number);
            given.addAll(List.of(
                    ports.callers(),
                    ports.readiness(),
                    ports.control(),
                    ports.mesh(),
                    ports.mesh() + 1,
                    ports.bind(),
                    ports.bind() + 1));
        }
        assertThat(given).doesNotHaveDuplicates();
    }
}
