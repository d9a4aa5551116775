package org.copperspindle.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Ports that are known before anything listens there.
 */
class LoopbackHostTest {

    /** A deployment of thirty processes takes an address for each; every one can listen at its own and at the next port. */
    @Test
    void addressesAreGivenOnce() throws IOException {
        LoopbackHost host = LoopbackHost.open();
        Set<Integer> ports = new HashSet<>();
        for (int process = 0; process < 30; process++) {
            InetSocketAddress own = host.nextAddress();
            assertThat(ports.add(own.getPort())).isTrue();
            assertThat(ports.add(own.getPort() + 1)).isTrue();
        }
    }

    /** Another program listens on all addresses of the machine, at a port that would be next. It is passed over. */
    @Test
    void takenPortIsPassedOver() throws IOException {
        InetSocketAddress first = LoopbackHost.open().nextAddress();
        try (ServerSocket other = new ServerSocket(first.getPort() + 1)) {
            assertThat(LoopbackHost.open().nextAddress().getPort()).isNotEqualTo(first.getPort());
            assertThat(other.isBound()).isTrue();
        }
    }
}
