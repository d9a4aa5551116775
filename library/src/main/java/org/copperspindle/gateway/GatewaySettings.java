package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.wire.NumericAddress;

/**
 * Settings of a node directly in front of upstreams.
 *
 * @param name            name of the process, for logs
 * @param failureDomain   its failure domain
 * @param callers         address for callers
 * @param readiness       address of the readiness check for load balancers
 * @param control         address for operators and upstreams
 * @param mesh            address for other nodes; the next port is used by the control group
 * @param meshBind        address to listen on for other nodes, if a forwarder stands in front of it; the next port as
 *                        well
 * @param metrics         address for reading metrics, if any
 * @param seeds           mesh addresses of a few nodes to connect to first
 * @param dataFolder      folder on a disk; a node that has one has a member of the control group
 * @param firstStart      true only if the whole deployment starts for the first time, with empty disks
 * @param toleratedLosses members of the control group whose simultaneous loss must be tolerated
 * @param revocation      time after which a revoked key must be invalid everywhere
 * @param retries         limits on retries
 * @param stopGrace       time from the stop signal to the end of the process
 * @param cores           cores of its VM that the process may use, a fraction for less than one
 * @param failureDomains  names of all failure domains of the deployment, as far as they are known in advance
 * @param memoryBytes     memory that the process may use, in bytes; if empty, the maximum heap alone bounds what is held
 *                        for callers
 * @param descriptors     sockets and files that the process may open; empty if unknown
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
        Set<String> failureDomains,
        OptionalLong memoryBytes,
        OptionalInt descriptors) {

    /** Copies the lists. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        failureDomains = Set.copyOf(failureDomains);
    }

    /**
     * Returns what the connections to the other nodes need.
     *
     * @return addresses, failure domain and seeds of this node
     */
    MeshSettings meshSettings() {
        return new MeshSettings(
                mesh,
                meshBind.orElse(mesh),
                NumericAddress.format(control),
                failureDomain,
                dataFolder.isPresent(),
                seeds);
    }

    /**
     * Limits on retries at a second upstream, over all nodes.
     *
     * @param ratio  retries per request of a window
     * @param slack  additional retries in a window
     * @param window length of a window
     */
    public record RetryLimits(double ratio, double slack, Duration window) {}
}
