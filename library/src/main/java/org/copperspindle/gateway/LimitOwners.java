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
 * Selects the owner of an upstream's limit: for stage pools the dispatcher of the pool, which sends nearly all calls
 * that the upstream gets, for others one of the serving nodes by rendezvous hashing.
 */
final class LimitOwners implements LimitOwnerSelector {

    private final NodeMesh mesh;
    private final BooleanSupplier serves;
    private final IsolationDetector isolation;
    private final UpstreamDirectory directory;
    private final BatchService batches;
    private final Supplier<Optional<RouteTable>> currentTable;

    /**
     * Creates the selector.
     *
     * @param mesh         the nodes
     * @param serves       whether this node serves
     * @param isolation    detects that this node is isolated from the others
     * @param directory    the upstreams
     * @param batches      knows the dispatcher of each pool
     * @param currentTable supplies the route table held
     */
    LimitOwners(
            NodeMesh mesh,
            BooleanSupplier serves,
            IsolationDetector isolation,
            UpstreamDirectory directory,
            BatchService batches,
            Supplier<Optional<RouteTable>> currentTable) {
        this.mesh = mesh;
        this.serves = serves;
        this.isolation = isolation;
        this.directory = directory;
        this.batches = batches;
        this.currentTable = currentTable;
    }

    @Override
    public Optional<String> owner(String upstream) {
        if (isolation.isIsolated()) {
            // The other nodes select an owner of their own.
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
        return currentTable
                .get()
                .flatMap(heldTable -> heldTable.findPool(pool))
                .flatMap(UpstreamPool::batchLimits)
                .isPresent();
    }
}
