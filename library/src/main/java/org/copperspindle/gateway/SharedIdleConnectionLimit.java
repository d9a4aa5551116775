package org.copperspindle.gateway;

import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.copperspindle.direct.IdleConnectionLimit;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;

/**
 * Divides the connections that an upstream accepts among all nodes, so that idle connections of some nodes never keep
 * others out. An upstream resets connections beyond its limit, and a request sent on one of those fails although the
 * upstream has capacity for it. Connections in use are not divided: a busy node opens as many as it has requests
 * there.
 */
final class SharedIdleConnectionLimit implements IdleConnectionLimit {

    /** A third idle connection would be used by few calls before its upstream closes it. */
    private static final int MAX_IDLE = 2;

    /** Share of an upstream's connections that may be idle; the rest is for those in use, also in a burst. */
    private static final double IDLE_SHARE = 0.5;

    private final UpstreamDirectory directory;
    private final Supplier<Optional<RouteTable>> currentTable;
    private final IntSupplier nodes;

    /**
     * Creates the limit.
     *
     * @param directory    the upstreams
     * @param currentTable supplies the table with the limits of the pools
     * @param nodes        number of nodes, including this one
     */
    SharedIdleConnectionLimit(
            UpstreamDirectory directory, Supplier<Optional<RouteTable>> currentTable, IntSupplier nodes) {
        this.directory = directory;
        this.currentTable = currentTable;
        this.nodes = nodes;
    }

    @Override
    public int maxIdle(String address) {
        Optional<UpstreamRecord> upstream = directory.findByAddress(address);
        if (upstream.filter(u -> directory.isEvacuated(u.failureDomain())).isPresent()) {
            return 0;
        }
        return upstream.map(UpstreamRecord::pool)
                .flatMap(pool -> currentTable.get().flatMap(t -> t.findPool(pool)))
                .map(this::share)
                .orElse(MAX_IDLE);
    }

    private int share(UpstreamPool pool) {
        // Only the dispatcher of a stage pool calls its upstreams.
        int sharingNodes = pool.batchLimits().isPresent() ? 1 : nodes.getAsInt();
        return (int) Math.min(MAX_IDLE, pool.maxConnections() * IDLE_SHARE / sharingNodes);
    }
}
