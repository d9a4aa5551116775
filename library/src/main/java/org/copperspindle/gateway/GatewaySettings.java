package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Settings of a node that stands directly before upstreams.
 *
 * @param name            name of the process, for logs
 * @param failureDomain   its failure domain
 * @param callers         where callers connect
 * @param readiness       where a balancer asks whether the node is ready
 * @param control         where operators and upstreams connect
 * @param mesh            where other nodes connect; the next port is taken by the control group
 * @param meshBind        where it listens for other nodes, if a forwarder stands before that; the next port as well
 * @param metrics         where metrics are read, if anywhere
 * @param seeds           mesh addresses of a few nodes
 * @param dataFolder      folder on a disk; a node that has one is a member of the control group
 * @param firstStart      true only when the whole deployment starts for the first time, with empty disks
 * @param toleratedLosses members of the control group whose loss at once must be borne
 * @param revocation      time after which a key that was taken away must be dead everywhere
 * @param retries         bound on repeats
 * @param stopGrace       time from the order to stop to the end of the process
 * @param cores           cores of its VM that the process may use, a fraction for less than one
 * @param failureDomains  names of all failure domains of the deployment, as far as they are known beforehand
 */
public record GatewaySettings(
        String name,
        String failureDomain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress control,
        InetSocketAddress mesh,
        Optional<InetSocketAddress> meshBind,
        Optional<InetSocketAddress> metrics,
        List<InetSocketAddress> seeds,
        Optional<Path> dataFolder,
        boolean firstStart,
        int toleratedLosses,
        Duration revocation,
        RetryLimits retries,
        Duration stopGrace,
        double cores,
        Set<String> failureDomains) {

    /** Copies the lists. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        failureDomains = Set.copyOf(failureDomains);
    }

    /**
     * Bound on requests that are sent to a second upstream, over all nodes.
     *
     * @param ratio  repeats for each request of a window
     * @param slack  repeats in a window besides
     * @param window length of a window
     */
    public record RetryLimits(double ratio, double slack, Duration window) {}
}
