package org.copperspindle.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the least loaded upstream that serves the model, preferring upstreams that were not tried before.
 */
public final class LeastLoadRoutingPolicy implements RoutingPolicy {

    @Override
    public Optional<UpstreamView> choose(List<UpstreamView> candidates, RoutingRequest request) {
        return candidates.stream()
                .filter(view -> hasFreeSlot(view, request))
                .min(Comparator.comparing((UpstreamView view) ->
                                request.tried().contains(view.announcement().upstreamId()))
                        .thenComparingInt(UpstreamView::load)
                        .thenComparing(view -> view.announcement().upstreamId()));
    }

    private static boolean hasFreeSlot(UpstreamView view, RoutingRequest request) {
        if (view.announcement().draining() || view.load() >= request.pool().concurrency()) {
            return false;
        }
        return view.serves(request.stage().model());
    }
}
