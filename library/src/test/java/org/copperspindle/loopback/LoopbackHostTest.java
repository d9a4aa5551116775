package org.copperspindle.loopback;

import java.io.IOException;
import java.net.BindException;
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

    private static final int MAX_ATTEMPTS = 200;

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
        LoopbackHost host = LoopbackHost.open();
        try (ServerSocket other = bindBehind(host)) {
            LoopbackHost next = LoopbackHost.open();
            Set<Integer> ports = new HashSet<>();
            while (ports.stream().noneMatch(port -> port > other.getLocalPort())) {
                InetSocketAddress own = next.nextAddress();
                ports.add(own.getPort());
                ports.add(own.getPort() + 1);
            }
            assertThat(ports).doesNotContain(other.getLocalPort());
        }
    }

    /** Binds the second port of an address on all addresses; other programs may have taken some of these ports. */
    private static ServerSocket bindBehind(LoopbackHost host) throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                return new ServerSocket(host.nextAddress().getPort() + 1);
            } catch (BindException e) {
                // Taken on one of the other addresses.
            }
        }
        throw new IOException("no port is free on all addresses");
    }
}
