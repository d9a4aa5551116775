package org.copperspindle.limits;

import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.LeastLoadRoutingPolicy;
import org.copperspindle.routing.RoutingPolicy;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * The first version: least load within the declared concurrency, fixed rates, attempts end only with the deadline.
 */
final class LeastLoadEntryPolicy implements EntryPolicy {

    private final FleetView fleet;
    private final AdmissionPolicy admission;
    private final RoutingPolicy routing = new LeastLoadRoutingPolicy();

    LeastLoadEntryPolicy(FleetView fleet, int maxInProgress) {
        this.fleet = fleet;
        this.admission = new RateAdmissionPolicy(maxInProgress);
    }

    @Override
    public void configure(Deployment deployment) {
        // Nothing is learned, so nothing depends on the deployment.
    }

    @Override
    public void rateShare(double fraction, long now) {
        admission.rateShare(fraction, now);
    }

    @Override
    public Optional<Refusal> refuse(PipelineRequest request, long now) {
        return admission
                .refuse(request.account(), request.priority(), now)
                .map(comeBack -> new Refusal(Refusal.RATE, comeBack));
    }

    @Override
    public void release(PipelineRequest request) {
        admission.release(request.account(), request.priority());
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
    public boolean mayAbandon(
            PipelineRequest request, StageSettings stage, UpstreamView view, long ageNanos, long now) {
        return false;
    }

    @Override
    public boolean mayRetry(PipelineRequest request) {
        return true;
    }
}
