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
import org.copperspindle.routing.RendezvousScore;

/**
 * Chooses by the estimated time to the first event while the engines of a pool differ, and by another choice
 * otherwise. A request stays with the engine that has cached its shared part while that costs little time.
 */
final class EstimatedEngineChoice implements EngineChoice {

    /** Additional time to the first event that the cached part is worth, as a share of the objective. */
    private static final double TOLERANCE = 0.1;

    /** Share of the longest allowed pause above which an engine's pauses are likely to make streams late. */
    private static final double MAX_PAUSE_SHARE = 0.7;

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
                long score = RendezvousScore.of(demand.prompt().shared(), engine.id());
                all.add(new Estimated(engine, score, estimates.get().at(engine)));
            }
        }
        List<Estimated> steady = all.stream().filter(e -> e.isSteady(demand)).toList();
        return first(steady.isEmpty() ? all : steady, (long) (demand.objectiveNanos() * TOLERANCE));
    }

    private static Optional<UpstreamRecord> first(List<Estimated> engines, long toleranceNanos) {
        long best = engines.stream()
                .mapToLong(e -> e.estimate().firstEventNanos())
                .min()
                .orElse(0);
        return engines.stream()
                .filter(e -> e.estimate().firstEventNanos() <= best + toleranceNanos)
                .max(Comparator.comparingLong(Estimated::score))
                .map(Estimated::engine);
    }

    private record Estimated(UpstreamRecord engine, long score, EngineEstimate estimate) {
        private boolean isSteady(EngineDemand demand) {
            return demand.maxPauseNanos() == 0
                    || estimate.longestPauseNanos() <= demand.maxPauseNanos() * MAX_PAUSE_SHARE;
        }
    }
}
