package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.backpressure.LimitOwnerSelector;
import org.copperspindle.batch.BatchService;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.mesh.IsolationDetector;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.routing.RendezvousScore;

/**
 * Chooses who keeps the limit of an upstream: for stage pools the node that packs their calls, which sends nearly all that they get,
 * for others one of the serving nodes by rendezvous.
 */
final class LimitOwners implements LimitOwnerSelector {

    private final NodeMesh mesh;
    private final BooleanSupplier serves;
    private final IsolationDetector cutOff;
    private final UpstreamDirectory directory;
    private final BatchService batches;
    private final Supplier<Optional<RouteTable>> table;

    /**
     * Creates the choice.
     *
     * @param mesh      the nodes
     * @param serves    says whether this node serves
     * @param cutOff    says whether this node sees few of the others
     * @param directory the upstreams
     * @param batches   knows who packs the calls of a pool
     * @param table     the route table held
     */
    LimitOwners(
            NodeMesh mesh,
            BooleanSupplier serves,
            IsolationDetector cutOff,
            UpstreamDirectory directory,
            BatchService batches,
            Supplier<Optional<RouteTable>> table) {
        this.mesh = mesh;
        this.serves = serves;
        this.cutOff = cutOff;
        this.directory = directory;
        this.batches = batches;
        this.table = table;
    }

    @Override
    public Optional<String> owner(String upstream) {
        if (cutOff.isIsolated()) {
            // The others go on with a keeper of their own.
            return Optional.empty();
        }
        return directory.find(upstream).map(UpstreamRecord::pool).flatMap(pool -> owner(upstream, pool));
    }

    private Optional<String> owner(String upstream, String pool) {
        if (isStagePool(pool)) {
            return Optional.of(batches.dispatcherNode(pool));
        }
        List<String> nodes = mesh.serving();
        String best = serves.getAsBoolean() ? mesh.self() : "";
        for (String node : nodes) {
            boolean better = best.isEmpty() || RendezvousScore.of(upstream, node) > RendezvousScore.of(upstream, best);
            best = better ? node : best;
        }
        return Optional.of(best).filter(name -> !name.isEmpty());
    }

    private boolean isStagePool(String pool) {
        return table.get()
                .flatMap(held -> held.findPool(pool))
                .flatMap(UpstreamPool::batchLimits)
                .isPresent();
    }
}
