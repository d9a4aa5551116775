package org.copperspindle.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.RoutingPolicy;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.ShareRoutingPolicy;
import org.copperspindle.routing.UpstreamView;

/**
 * The policy to serve with. Attempts that find no upstream wait at the entry, where priority and fair share can order
 * them, rather than in an upstream's queue, where they can't.
 */
final class AdaptiveEntryPolicy implements EntryPolicy {

    private final FleetView fleet;
    private final AdmissionPolicy admission;
    private final RoutingPolicy routing = new ShareRoutingPolicy();
    private final Map<String, WaitingLine> lines = new HashMap<>();

    AdaptiveEntryPolicy(FleetView fleet, int maxInProgress) {
        this.fleet = fleet;
        this.admission = new RateAdmissionPolicy(maxInProgress);
    }

    @Override
    public void configure(Deployment deployment) {
        // Lines are made on first use, so that a pool that goes keeps its waiters until their deadlines.
    }

    @Override
    public Optional<Duration> refuse(PipelineRequest request, long now) {
        return admission.refuse(request.account(), request.priority(), now);
    }

    @Override
    public void release(PipelineRequest request) {
        admission.release(request.account(), request.priority());
        lines.values().forEach(line -> line.remove(request));
    }

    @Override
    public Optional<UpstreamView> choose(PipelineRequest request, RoutingRequest routingRequest, long now) {
        return routing.choose(fleet.pool(routingRequest.pool().name()), routingRequest);
    }

    @Override
    public void dispatched(PipelineRequest request, StageSettings stage, UpstreamView view, long now) {
        view.dispatched();
    }

    @Override
    public void ended(AttemptReport report, long now) {
        report.view().ended(report.inFlight());
    }

    @Override
    public OptionalLong attemptTimeout(PipelineRequest request, StageSettings stage, long now) {
        return OptionalLong.empty();
    }

    @Override
    public boolean mayAbandon(PipelineRequest request, StageSettings stage) {
        return false;
    }

    @Override
    public boolean mayRetry(PipelineRequest request) {
        return true;
    }

    @Override
    public boolean mayWait(PipelineRequest request, StageSettings stage) {
        return true;
    }

    @Override
    public long enqueue(PipelineRequest request, RoutingRequest routingRequest, long now) {
        line(routingRequest.pool().name()).add(new Waiter(request, routingRequest));
        return request.deadlineNanos() - now;
    }

    @Override
    public Optional<PipelineRequest> next(String pool, long now) {
        WaitingLine line = line(pool);
        Optional<Waiter> head = line.peek();
        if (head.isEmpty()
                || routing.choose(fleet.pool(pool), head.get().routing()).isEmpty()) {
            return Optional.empty();
        }
        line.poll();
        return Optional.of(head.get().request());
    }

    private WaitingLine line(String pool) {
        return lines.computeIfAbsent(pool, name -> new WaitingLine());
    }
}
