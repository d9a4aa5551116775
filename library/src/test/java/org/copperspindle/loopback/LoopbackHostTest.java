package org.copperspindle.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the assignment of loopback addresses and ports.
 */
class LoopbackHostTest {

    /** Thirty processes get an address each. No port may be assigned twice, counting the port after each address. */
    @Test
    void addressesAreAssignedOnce() throws IOException {
        LoopbackHost host = LoopbackHost.open();
        Set<Integer> ports = new HashSet<>();
        for (int process = 0; process < 30; process++) {
            InetSocketAddress own = host.nextAddress();
            assertThat(ports.add(own.getPort())).isTrue();
            assertThat(ports.add(own.getPort() + 1)).isTrue();
        }
    }

    /** A port that another program has bound on all addresses must be skipped. */
    @Test
    void boundPortIsSkipped() throws IOException {
        InetSocketAddress first = LoopbackHost.open().nextAddress();
        try (ServerSocket other = new ServerSocket(first.getPort() + 1)) {
            assertThat(LoopbackHost.open().nextAddress().getPort()).isNotEqualTo(first.getPort());
            assertThat(other.isBound()).isTrue();
        }
    }
}
