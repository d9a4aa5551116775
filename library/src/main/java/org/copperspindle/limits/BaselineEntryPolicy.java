package org.copperspindle.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * What plain proxies do: round robin over upstreams that are not draining, a fixed timeout of three quarters of the deadline,
 * retries without a budget, first come first served under fixed rates. Kept to measure other policies against.
 */
final class BaselineEntryPolicy implements EntryPolicy {

    private final FleetView fleet;
    private final AdmissionPolicy admission;
    private final Map<String, Integer> nextByPool = new HashMap<>();

    BaselineEntryPolicy(FleetView fleet, int maxInProgress) {
        this.fleet = fleet;
        this.admission = new RateAdmissionPolicy(maxInProgress);
    }

    @Override
    public void configure(Deployment deployment) {
        nextByPool.clear();
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
    public Optional<UpstreamView> choose(PipelineRequest request, RoutingRequest routing, long now) {
        String pool = routing.pool().name();
        List<UpstreamView> views = fleet.pool(pool);
        int next = nextByPool.getOrDefault(pool, 0);
        for (int i = 0; i < views.size(); i++) {
            UpstreamView view = views.get((next + i) % views.size());
            if (view.serves(routing.stage().model()) && !view.announcement().draining()) {
                nextByPool.put(pool, (next + i + 1) % views.size());
                return Optional.of(view);
            }
        }
        return Optional.empty();
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
        return stage.repeatable()
                ? OptionalLong.of(request.pipeline().deadline().toNanos() / 4 * 3)
                : OptionalLong.empty();
    }

    @Override
    public boolean mayAbandon(
            PipelineRequest request, StageSettings stage, UpstreamView view, long ageNanos, long now) {
        return true;
    }

    @Override
    public boolean mayRetry(PipelineRequest request) {
        return true;
    }
}
