package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.FleetStageStarts;
import org.copperspindle.admission.StagedRequest;
import org.copperspindle.admission.StartDecision;
import org.copperspindle.admission.StartForecast;
import org.copperspindle.admission.StartPolicy;
import org.copperspindle.admission.StartQueue;
import org.copperspindle.admission.StartRequest;
import org.copperspindle.batch.BatchService;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.route.RouteTable;
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
                relay, timers, batches::dispatcherNode, tables, batches::load, policy(batches, latencies, timers), log);
        batches.announceShortage(starts::shortPools);
        relay.subscribe(starts);
        return starts;
    }

    /** Returns the decisions: no route is coordinated, so each node decides alone. */
    private static StartPolicy policy(BatchService batches, FirstEventLatencies latencies, TimerService timers) {
        return new StartPolicy(
                EmptyQueue::new,
                new EmptyForecast(),
                table -> StartPolicy.Groups.NONE,
                () -> (queueingNanos, fullCallNanos, now) -> false,
                account -> 1);
    }

    /** A queue that is never used, since no route is coordinated. */
    private static final class EmptyQueue implements StartQueue {
        @Override
        public void add(StartRequest request, long now) {
            // Nothing waits.
        }

        @Override
        public void cancel(String node, long id) {
            // Nothing waits.
        }

        @Override
        public void forget(String node) {
            // Nothing waits.
        }

        @Override
        public List<StartDecision> decide(StartForecast forecast, long now) {
            return List.of();
        }

        @Override
        public int size() {
            return 0;
        }
    }

    /** Estimates that are never used. */
    private static final class EmptyForecast implements StartForecast {
        @Override
        public long shortestNanos(StagedRequest request) {
            return 0;
        }

        @Override
        public long queueingNanos(StagedRequest request) {
            return 0;
        }

        @Override
        public long fullCallNanos(StagedRequest request) {
            return 0;
        }

        @Override
        public long costNanos(StagedRequest request) {
            return 0;
        }

        @Override
        public void recordStart(StagedRequest request) {
            // Nothing starts.
        }
    }
}
