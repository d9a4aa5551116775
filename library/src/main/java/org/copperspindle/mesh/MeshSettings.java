package org.copperspindle.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

import org.copperspindle.wire.WireLimits;
import org.copperspindle.wire.WireTransport;

/**
 * Settings of a node's connections to other nodes.
 *
 * @param listen        address at which other nodes reach this node; also its name
 * @param bind          address at which this node actually listens; differs from {@code listen} if others reach it
 *                      through a forwarder
 * @param control       IP:PORT at which operators and upstreams reach it
 * @param failureDomain its failure domain
 * @param durable       true if it has a disk
 * @param seeds         addresses of a few nodes; may include this node
 */
public record MeshSettings(
        InetSocketAddress listen,
        InetSocketAddress bind,
        String control,
        String failureDomain,
        boolean durable,
        List<InetSocketAddress> seeds) {

    /** How often a node sends pending updates and dials missing nodes. */
    public static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(500);

    /**
     * Limits of connections between nodes. A peer is considered dead after 1.6 s of silence, that is three missed
     * heartbeats: work assigned to it must move to another node within its callers' remaining time, and a shorter
     * limit would drop nodes on links with packet loss.
     */
    public static final WireLimits LIMITS = new WireLimits(
            WireTransport.MAX_FRAME_BYTES,
            2L * WireTransport.MAX_FRAME_BYTES,
            Duration.ofSeconds(2),
            Duration.ofMillis(500),
            Duration.ofMillis(1600));

    /** Copies the list. */
    public MeshSettings {
        seeds = List.copyOf(seeds);
    }
}
