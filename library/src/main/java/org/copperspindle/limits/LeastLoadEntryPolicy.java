package org.copperspindle.limits;

import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.LeastLoadRoutingPolicy;
import org.copperspindle.routing.RoutingPolicy;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * Least load within the declared concurrency and fixed rates; attempts end only with the deadline. The first policy,
 * kept for comparison.
 */
final class LeastLoadEntryPolicy extends FixedRateEntryPolicy {

    private final FleetView fleet;
    private final RoutingPolicy routing = new LeastLoadRoutingPolicy();

    LeastLoadEntryPolicy(FleetView fleet, int maxInProgress) {
        super(maxInProgress);
        this.fleet = fleet;
    }

    @Override
    public Optional<UpstreamView> choose(PipelineRequest request, RoutingRequest routingRequest, long now) {
        return routing.choose(fleet.pool(routingRequest.pool().name()), routingRequest);
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
}
