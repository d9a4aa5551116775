package org.copperspindle.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.config.Priority;

/**
 * Sends a prompt's prefix to the same upstream as long as that is not loaded above the others (rendezvous hashing with
 * bounded load), and everything else to the least loaded one. Of an upstream's slots a priority uses no more than its
 * share, so that more urgent work finds some free. Allocates nothing but the result.
 */
public final class AffinityRoutingPolicy implements RoutingPolicy {

    /** Load that an upstream may have for its prefixes' sake, as a multiple of the mean. */
    public static final double LOAD_BOUND = 1.25;

    /** Slots that a priority may fill, as a share of the declared concurrency. */
    private static final double[] SHARES = {1.1, 1.0, 0.85};

    private static final double TRIED_PENALTY = 1e6;
    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final int MIX_SHIFT = 32;

    @Override
    public Optional<UpstreamView> choose(List<UpstreamView> candidates, RoutingRequest request) {
        double bound = request.affinity() == 0 ? 0 : bound(candidates, request);
        UpstreamView least = null;
        UpstreamView preferred = null;
        double leastScore = Double.POSITIVE_INFINITY;
        long highest = Long.MIN_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            UpstreamView view = candidates.get(i);
            if (!usable(view, request)) {
                continue;
            }
            double score = score(view, request);
            if (score < leastScore) {
                least = view;
                leastScore = score;
            }
            if (score < bound) {
                long weight = weight(request.affinity(), view.idHash());
                if (preferred == null || weight > highest) {
                    preferred = view;
                    highest = weight;
                }
            }
        }
        return Optional.ofNullable(preferred == null ? least : preferred);
    }

    private static double bound(List<UpstreamView> candidates, RoutingRequest request) {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < candidates.size(); i++) {
            UpstreamView view = candidates.get(i);
            if (available(view, request)) {
                sum += view.load();
                count++;
            }
        }
        return count == 0 ? 0 : (sum + 1) / count * LOAD_BOUND + 1;
    }

    private static boolean usable(UpstreamView view, RoutingRequest request) {
        return available(view, request)
                && view.load() < slots(request.pool().concurrency() * request.limitShare(), request.priority());
    }

    private static boolean available(UpstreamView view, RoutingRequest request) {
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
        boolean again = !tried.isEmpty() && tried.contains(view.announcement().upstreamId());
        return again ? view.load() + TRIED_PENALTY : view.load();
    }

    private static long weight(long affinity, long idHash) {
        long mixed = (affinity ^ idHash) * MIX;
        return (mixed ^ mixed >>> MIX_SHIFT) * MIX;
    }
}
