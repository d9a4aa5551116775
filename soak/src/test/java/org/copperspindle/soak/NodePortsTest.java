package org.copperspindle.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class NodePortsTest {

    /**
     * Ports are drawn while nobody listens on those that were drawn before. Two nodes that got the same one, or one node for two of its
     * doors, made a process end as it started, and the soak told that it had ended by itself: of four nodes with twenty pairs of ports
     * one soak in thirty.
     */
    @Test
    void noPortIsGivenTwice() throws IOException {
        List<Integer> given = new ArrayList<>();
        for (int number = 0; number < 200; number++) {
            NodePorts ports = NodePorts.free(number);
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
