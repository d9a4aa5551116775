package org.copperspindle.soak;

import java.io.IOException;
import java.net.InetSocketAddress;

import org.copperspindle.loopback.LoopbackHost;

/**
 * Ports of one node on loopback.
 *
 * @param host      address of all of them, which nobody else uses
 * @param callers   for callers
 * @param readiness for the question whether it is ready
 * @param control   for operators and upstreams
 * @param mesh      where other nodes reach its proxy; the next one as well
 * @param bind      where it listens behind the proxy; the next one as well
 * @param domain    number of its failure domain
 */
record NodePorts(String host, int callers, int readiness, int control, int mesh, int bind, int domain) {

    static NodePorts free(LoopbackHost loopback, int domain) throws IOException {
        InetSocketAddress callers = loopback.nextAddress();
        return new NodePorts(
                callers.getAddress().getHostAddress(),
                callers.getPort(),
                loopback.nextAddress().getPort(),
                loopback.nextAddress().getPort(),
                loopback.nextAddress().getPort(),
                loopback.nextAddress().getPort(),
                domain);
    }

    /** Returns IP:PORT of a port of the node. */
    String address(int port) {
        return host + ':' + port;
    }

    /** Returns where a process listens or is reached at a port of the node. */
    InetSocketAddress socketAddress(int port) {
        return new InetSocketAddress(host, port);
    }
}
