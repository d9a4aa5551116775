package org.copperspindle.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.copperspindle.admission.PoolGroups;
import org.copperspindle.batch.BatchService;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.IsolationDetector;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.route.RouteTable;
import org.copperspindle.standby.StallDetector;
import org.copperspindle.standby.StandbyDispatchers;
import org.copperspindle.time.TimerService;

/**
 * Creates the standby dispatchers of the coordinated pools and connects them with the batch service.
 */
final class StandbyFactory {

    private StandbyFactory() {}

    /**
     * Creates the service and subscribes it to the relay. The caller subscribes it to the mesh.
     *
     * @param relay      sends to other nodes
     * @param timers     timers of the network thread
     * @param batches    dispatches the pools
     * @param tables     supplies the route table held
     * @param isolation  detects that this node has lost most others
     * @param log        limits the rate of log lines
     */
    static StandbyDispatchers create(
            MeshRelay relay,
            TimerService timers,
            BatchService batches,
            Supplier<Optional<RouteTable>> tables,
            IsolationDetector isolation,
            LogRateLimiter log) {
        StandbyDispatchers standby = new StandbyDispatchers(
                relay,
                timers,
                batches.actingDispatchers(),
                new CoordinatedPoolNames(tables),
                isolation::isIsolated,
                new StallDetector(timers::nanoTime, System::currentTimeMillis),
                log);
        relay.subscribe(standby);
        return standby;
    }

    /** The names of the coordinated pools, computed once per route table. */
    private static final class CoordinatedPoolNames implements Supplier<Set<String>> {
        private final Supplier<Optional<RouteTable>> tables;
        private Optional<RouteTable> table = Optional.empty();
        private Set<String> names = Set.of();

        private CoordinatedPoolNames(Supplier<Optional<RouteTable>> tables) {
            this.tables = tables;
        }

        @Override
        public Set<String> get() {
            Optional<RouteTable> held = tables.get();
            if (held.orElse(null) != table.orElse(null)) {
                table = held;
                names = held.map(PoolGroups::of)
                        .map(PoolGroups::coordinatedPools)
                        .orElse(Set.of());
            }
            return names;
        }
    }
}
