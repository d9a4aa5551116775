package org.copperspindle.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

import org.copperspindle.wire.WireLimits;
import org.copperspindle.wire.WireTransport;

/**
 * Settings of a node's connections to other nodes.
 *
 * @param listen        where this node listens; also its name
 * @param bind          where this node really listens, if others reach it through a forwarder; else the same
 * @param control       IP:PORT where operators and upstreams reach it
 * @param failureDomain its failure domain
 * @param durable       true if it has a disk
 * @param seeds         addresses of a few nodes, which may include this one
 */
public record MeshSettings(
        InetSocketAddress listen,
        InetSocketAddress bind,
        String control,
        String failureDomain,
        boolean durable,
        List<InetSocketAddress> seeds) {

    /** A node looks this often what others must be told of it, and whom it must dial. */
    public static final Duration LOOK_INTERVAL = Duration.ofMillis(500);

    /**
     * Bounds of connections between nodes. A peer silent for 1.6 s, three missed heartbeats, is taken for dead: work that
     * was handed to it must move on while its callers' time lasts, and shorter bounds would drop nodes that lose packets.
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
