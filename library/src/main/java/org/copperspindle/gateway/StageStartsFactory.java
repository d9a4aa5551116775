package org.copperspindle.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.FleetStageStarts;
import org.copperspindle.admission.LoadForecast;
import org.copperspindle.admission.PoolGroups;
import org.copperspindle.admission.ShortageDetector;
import org.copperspindle.admission.StartPolicy;
import org.copperspindle.admission.StartQueues;
import org.copperspindle.batch.BatchService;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.RouteTable;
import org.copperspindle.standby.TakeoverListener;
import org.copperspindle.time.TimerService;

/**
 * Creates the admission across nodes and connects it with the batch service.
 */
final class StageStartsFactory {

    private StageStartsFactory() {}

    /**
     * Creates the service. The caller subscribes it to the mesh after the batch service.
     *
     * @param relay     sends to other nodes
     * @param timers    timers of the network thread
     * @param batches   knows the dispatchers and the loads of the pools, and announces their shortage
     * @param tables    supplies the route table held
     * @param latencies time from an attempt to its first event, after the stages
     * @param log       limits the rate of log lines
     */
    static FleetStageStarts create(
            MeshRelay relay,
            TimerService timers,
            BatchService batches,
            Supplier<Optional<RouteTable>> tables,
            FirstEventLatencies latencies,
            LogRateLimiter log) {
        FleetStageStarts starts = new FleetStageStarts(
                relay,
                timers,
                batches::actingDispatcher,
                tables,
                batches::load,
                policy(batches, latencies, timers),
                log);
        batches.announceShortage(starts::shortPools);
        batches.fillCallsWhile(starts::isPoolShort);
        batches.actingDispatchers().subscribe(new TakeoverListener() {
            @Override
            public void onChange() {
                starts.updateControllers();
            }
        });
        relay.subscribe(starts);
        return starts;
    }

    private static StartPolicy policy(BatchService batches, FirstEventLatencies latencies, TimerService timers) {
        return new StartPolicy(
                () -> StartQueues.create(ThreadLocalRandom.current()),
                () -> new LoadForecast(batches::load, latencies, timers::nanoTime),
                PoolGroups::of,
                ShortageDetector::new,
                ClientAccount::weight);
    }
}
