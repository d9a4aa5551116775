package org.copperspindle.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineEstimate;
import org.copperspindle.engineload.EngineEstimates;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.placement.LoadLevel;

/**
 * Chooses by the estimated time to the first event while the engines of a pool differ, and by another choice
 * otherwise. A request stays with the engine that has cached its shared part while that costs little time.
 */
final class EstimatedEngineChoice implements EngineChoice {

    /** Additional time to the first event that the cached part is worth, as a share of the objective. */
    private static final double TOLERANCE = 0.1;

    /**
     * Share of the objective within which any first event is early enough: the stages need the rest. Until then a
     * request stays with its engine, since reading the shared part again elsewhere would gain the caller nothing.
     */
    private static final double EARLY_SHARE = 0.25;

    private final EngineLoads loads;
    private final EngineChoice otherwise;

    /**
     * Creates the choice.
     *
     * @param loads     estimates, while the engines of a pool differ
     * @param otherwise the choice that applies without estimates
     */
    EstimatedEngineChoice(EngineLoads loads, EngineChoice otherwise) {
        this.loads = loads;
        this.otherwise = otherwise;
    }

    @Override
    public Optional<UpstreamRecord> choose(
            EngineDemand demand, List<UpstreamRecord> candidates, Predicate<UpstreamRecord> accepts) {
        Optional<EngineEstimates> estimates = loads.estimates(demand.pool(), demand.prompt());
        if (estimates.isEmpty()) {
            return otherwise.choose(demand, candidates, accepts);
        }
        List<Estimated> all = new ArrayList<>();
        for (UpstreamRecord engine : candidates) {
            if (accepts.test(engine)) {
                long score = estimates.get().score(engine);
                all.add(new Estimated(engine, score, estimates.get().at(engine)));
            }
        }
        return choose(all, demand.objectiveNanos(), estimates.get().unseenTokens());
    }

    /** Chooses by rendezvous among the engines whose estimate is below a limit. */
    private static Optional<UpstreamRecord> choose(List<Estimated> engines, long objectiveNanos, long unseenTokens) {
        List<Estimated> sorted = engines.stream()
                .sorted(Comparator.comparingLong(Estimated::nanos))
                .toList();
        if (sorted.isEmpty()) {
            return Optional.empty();
        }
        double tolerated = sorted.get(0).nanos() + objectiveNanos * TOLERANCE;
        double early = objectiveNanos * EARLY_SHARE;
        double finish = LoadLevel.of(sorted, Estimated::nanos, e -> e.estimate().tokensPerNano(), unseenTokens);
        double limit = Math.max(Math.max(tolerated, early), finish);
        return sorted.stream()
                .filter(e -> e.nanos() <= limit)
                .max(Comparator.comparingLong(Estimated::score))
                .map(Estimated::engine);
    }

    private record Estimated(UpstreamRecord engine, long score, EngineEstimate estimate) {
        private long nanos() {
            return estimate.firstEventNanos();
        }
    }
}
