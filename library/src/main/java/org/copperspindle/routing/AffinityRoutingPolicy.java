package org.copperspindle.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.config.Priority;

/**
 * Routes requests with the same prompt prefix to the same upstream while its load is not above the others'
 * (rendezvous hashing with bounded load), and all other requests to the least loaded upstream. Each priority uses at
 * most its share of an upstream's slots, so that more urgent requests find free slots. The only allocation is the
 * result.
 */
public final class AffinityRoutingPolicy implements RoutingPolicy {

    /** Load up to which an upstream is preferred for its prefixes, as a multiple of the mean load. */
    public static final double LOAD_BOUND = 1.25;

    /** Slots that each priority may fill, as a share of the declared concurrency. */
    private static final double[] SHARES = {1.25, 1.1, 0.95};

    private static final double TRIED_PENALTY = 1e6;

    @Override
    public Optional<UpstreamView> choose(List<UpstreamView> candidates, RoutingRequest request) {
        double bound = request.affinity() == 0 ? 0 : bound(candidates, request);
        UpstreamView leastLoaded = null;
        UpstreamView preferred = null;
        double lowestScore = Double.POSITIVE_INFINITY;
        long highestWeight = Long.MIN_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            UpstreamView view = candidates.get(i);
            if (!hasFreeSlot(view, request)) {
                continue;
            }
            double score = score(view, request);
            if (score < lowestScore) {
                leastLoaded = view;
                lowestScore = score;
            }
            if (score < bound) {
                long weight = Rendezvous.weight(request.affinity(), view.idHash());
                if (preferred == null || weight > highestWeight) {
                    preferred = view;
                    highestWeight = weight;
                }
            }
        }
        return Optional.ofNullable(preferred == null ? leastLoaded : preferred);
    }

    private static double bound(List<UpstreamView> candidates, RoutingRequest request) {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < candidates.size(); i++) {
            UpstreamView view = candidates.get(i);
            if (isAvailable(view, request)) {
                sum += view.load();
                count++;
            }
        }
        return count == 0 ? 0 : (sum + 1) / count * LOAD_BOUND + 1;
    }

    private static boolean hasFreeSlot(UpstreamView view, RoutingRequest request) {
        return isAvailable(view, request)
                && view.load() < slots(request.pool().concurrency() * request.limitShare(), request.priority());
    }

    private static boolean isAvailable(UpstreamView view, RoutingRequest request) {
        UpstreamHealth health = view.health();
        if (health.ejected(request.now()) || health.onProbation() && view.load() > 0) {
            return false;
        }
        return !view.announcement().draining() && view.serves(request.stage().model());
    }

    private static double slots(double concurrency, Priority priority) {
        return Math.max(1, concurrency * SHARES[priority.ordinal()]);
    }

    private static double score(UpstreamView view, RoutingRequest request) {
        Set<String> tried = request.tried();
        boolean alreadyTried =
                !tried.isEmpty() && tried.contains(view.announcement().upstreamId());
        return alreadyTried ? view.load() + TRIED_PENALTY : view.load();
    }
}
