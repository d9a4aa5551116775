package org.copperspindle.gateway;

import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.copperspindle.direct.IdleConnections;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;

/**
 * Parts what an upstream accepts from all nodes together, so that idle connections of some never keep others out. An
 * upstream resets connections beyond its bound, and a request that is sent on one of those fails although the upstream has
 * room for it. Connections in use are not parted: a busy node opens as many as it has requests there.
 */
final class SharedIdleConnections implements IdleConnections {

    /** A third one would be used by few calls before its upstream closes it. */
    private static final int MOST = 2;

    /** Part of an upstream's connections that may be idle; the rest is for those in use, also in a burst. */
    private static final double IDLE_PART = 0.5;

    private final UpstreamDirectory directory;
    private final Supplier<Optional<RouteTable>> table;
    private final IntSupplier nodes;

    /**
     * Creates the rule.
     *
     * @param directory the upstreams
     * @param table     the bounds of their pools
     * @param nodes     how many nodes there are, this one included
     */
    SharedIdleConnections(UpstreamDirectory directory, Supplier<Optional<RouteTable>> table, IntSupplier nodes) {
        this.directory = directory;
        this.table = table;
        this.nodes = nodes;
    }

    @Override
    public int most(String address) {
        Optional<UpstreamRecord> upstream = directory.findByAddress(address);
        if (upstream.filter(u -> directory.isEvacuated(u.failureDomain())).isPresent()) {
            return 0;
        }
        return upstream.map(UpstreamRecord::pool)
                .flatMap(pool -> table.get().flatMap(t -> t.findPool(pool)))
                .map(this::share)
                .orElse(MOST);
    }

    private int share(UpstreamPool pool) {
        // One node calls the upstreams of a stage pool.
        int sharing = pool.batchLimits().isPresent() ? 1 : nodes.getAsInt();
        return (int) Math.min(MOST, pool.maxConnections() * IDLE_PART / sharing);
    }
}
