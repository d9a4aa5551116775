package org.copperspindle.soak;

import java.io.IOException;
import java.net.ServerSocket;

/**
 * Ports of one node on loopback.
 *
 * @param callers   for callers
 * @param readiness for the question whether it is ready
 * @param control   for operators and upstreams
 * @param mesh      where other nodes reach its proxy; the next one as well
 * @param bind      where it listens behind the proxy; the next one as well
 * @param domain    number of its failure domain
 */
record NodePorts(int callers, int readiness, int control, int mesh, int bind, int domain) {

    static NodePorts free(int domain) throws IOException {
        return new NodePorts(one(), one(), one(), pair(), pair(), domain);
    }

    private static int one() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static int pair() throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket(0)) {
                try (ServerSocket next = new ServerSocket(first.getLocalPort() + 1)) {
                    return next.getLocalPort() - 1;
                } catch (IOException e) {
                    // The next port is taken; another pair is tried.
                    continue;
                }
            }
        }
    }
}
