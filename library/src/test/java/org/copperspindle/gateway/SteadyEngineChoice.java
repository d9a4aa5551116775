package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineEstimates;
import org.copperspindle.engineload.EngineLoads;

/**
 * Chooses by estimate among the engines without recent long pauses: what placement is compared with.
 */
final class SteadyEngineChoice implements EngineChoice {

    private static final double MAX_PAUSE_SHARE = 0.7;

    private final EngineLoads loads;
    private final EngineChoice choice;

    SteadyEngineChoice(EngineLoads loads, EngineChoice choice) {
        this.loads = loads;
        this.choice = choice;
    }

    @Override
    public Optional<UpstreamRecord> choose(
            EngineDemand demand, List<UpstreamRecord> candidates, Predicate<UpstreamRecord> accepts) {
        Optional<EngineEstimates> estimates = loads.estimates(demand.pool(), demand.prompt());
        if (estimates.isEmpty()) {
            return choice.choose(demand, candidates, accepts);
        }
        double maxPause = demand.maxPauseNanos() * MAX_PAUSE_SHARE;
        List<UpstreamRecord> steady = candidates.stream()
                .filter(accepts)
                .filter(e -> estimates.get().at(e).longestPauseNanos() <= maxPause)
                .toList();
        return choice.choose(demand, steady.isEmpty() ? candidates : steady, accepts);
    }
}
