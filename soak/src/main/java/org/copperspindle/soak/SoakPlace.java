package org.copperspindle.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Where an upstream listens, and for which pool.
 *
 * @param pool its pool
 * @param port its port on loopback, 0 for any that is free
 */
record SoakPlace(String pool, int port) {

    /** Returns whether nothing listens there. */
    boolean isFree() {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(address());
            return true;
        } catch (IOException e) {
            // Another process was given the port meanwhile.
            return false;
        }
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }
}
