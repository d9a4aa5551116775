package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.routing.RendezvousScore;

/**
 * Sends requests with the same shared prompt part to the same engine while this node's load of it is near the mean of
 * the pool.
 */
final class AffinityEngineChoice implements EngineChoice {

    /**
     * Load of an engine relative to the mean of its pool above which the engine with the next score gets the request.
     */
    private static final double LOAD_FACTOR = 1.25;

    /** Additional requests allowed above that bound: with few requests in flight the mean is not significant. */
    private static final int LOAD_SLACK = 3;

    private final UpstreamTracker tracker;

    AffinityEngineChoice(UpstreamTracker tracker) {
        this.tracker = tracker;
    }

    @Override
    public Optional<UpstreamRecord> choose(
            EngineDemand demand, List<UpstreamRecord> candidates, Predicate<UpstreamRecord> accepts) {
        double mean = candidates.stream()
                .mapToInt(u -> tracker.inFlight(u.id()))
                .average()
                .orElse(0);
        double bound = mean * LOAD_FACTOR + LOAD_SLACK;
        UpstreamRecord best = null;
        long bestScore = 0;
        for (UpstreamRecord upstream : candidates) {
            long score = RendezvousScore.of(demand.prompt().shared(), upstream.id());
            boolean better = best == null || score > bestScore;
            if (better && tracker.inFlight(upstream.id()) <= bound && accepts.test(upstream)) {
                best = upstream;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
