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
 * Behaves like a plain proxy: round robin over upstreams that are not draining, a fixed timeout of three quarters of
 * the deadline, retries without a budget, and first come, first served admission under fixed rates. Used as the
 * reference for measuring other policies.
 */
final class BaselineEntryPolicy extends FixedRateEntryPolicy {

    private final FleetView fleet;
    private final Map<String, Integer> nextByPool = new HashMap<>();

    BaselineEntryPolicy(FleetView fleet, int maxInProgress) {
        super(maxInProgress);
        this.fleet = fleet;
    }

    @Override
    public void configure(Deployment deployment) {
        nextByPool.clear();
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
}
