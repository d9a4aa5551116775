package org.copperspindle.soak;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

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

    /**
     * Below the range from which the kernel gives ports to whoever asks for any: a stand-in that took the port of a node
     * that is down would answer in the node's place.
     */
    private static final int FIRST = 15_000;

    private static final int LAST = 32_000;

    /** Ports that were given; nobody may listen on them yet, so that they look free. */
    private static final Set<Integer> GIVEN = new HashSet<>();

    static NodePorts free(int domain) throws IOException {
        return new NodePorts(pair(), pair(), pair(), pair(), pair(), domain);
    }

    private static int pair() throws IOException {
        for (int tries = 0; tries < LAST - FIRST; tries++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
            try (ServerSocket first = new ServerSocket(port);
                    ServerSocket next = new ServerSocket(port + 1)) {
                if (isNew(first.getLocalPort(), next.getLocalPort())) {
                    return first.getLocalPort();
                }
            } catch (IOException e) {
                // One of the two is taken; others are tried.
                continue;
            }
        }
        throw new IOException("no two free ports between " + FIRST + " and " + LAST);
    }

    private static synchronized boolean isNew(int first, int next) {
        if (GIVEN.contains(first) || GIVEN.contains(next)) {
            return false;
        }
        GIVEN.add(first);
        GIVEN.add(next);
        return true;
    }
}
