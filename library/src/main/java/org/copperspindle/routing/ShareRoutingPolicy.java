package org.copperspindle.routing;

import java.util.List;
import java.util.Optional;

import org.copperspindle.config.Priority;

/**
 * Takes the least loaded upstream, untried ones first, of which a priority uses no more than its share.
 */
public final class ShareRoutingPolicy implements RoutingPolicy {

    /** Slots that a priority may fill, as a share of the declared concurrency. */
    private static final double[] SHARES = {1.1, 1.0, 0.85};

    @Override
    public Optional<UpstreamView> choose(List<UpstreamView> candidates, RoutingRequest request) {
        UpstreamView best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (int i = 0; i < candidates.size(); i++) {
            UpstreamView view = candidates.get(i);
            if (!usable(view, request)) {
                continue;
            }
            double score = score(view, request);
            if (score < bestScore) {
                best = view;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean usable(UpstreamView view, RoutingRequest request) {
        UpstreamHealth health = view.health();
        if (health.ejected(request.now()) || health.onProbation() && view.load() > 0) {
            return false;
        }
        return !view.announcement().draining()
                && view.serves(request.stage().model())
                && view.load() < slots(request.pool().concurrency(), request.priority());
    }

    private static double slots(int concurrency, Priority priority) {
        return Math.max(1, concurrency * SHARES[priority.ordinal()]);
    }

    private static double score(UpstreamView view, RoutingRequest request) {
        double score = view.load();
        if (request.tried().contains(view.announcement().upstreamId())) {
            score += request.pool().concurrency();
        }
        return score;
    }
}
