package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineEstimate;
import org.copperspindle.engineload.EngineEstimates;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.placement.EngineCandidate;
import org.copperspindle.placement.EnginePlacement;
import org.copperspindle.placement.PlacementDecision;
import org.copperspindle.placement.PlacementDemand;

/**
 * Places requests at engines by their loads, for routes with a longest allowed pause between events.
 */
final class EnginePlacer {

    /** Share of the objective by which a first event has to be expected early: estimates may be that wrong. */
    private static final double MARGIN_SHARE = 0.1;

    private final EngineLoads loads;
    private final EnginePlacement placement;

    /**
     * Creates a placer.
     *
     * @param loads     estimates, while the engines of a pool differ
     * @param placement decides on each request
     */
    EnginePlacer(EngineLoads loads, EnginePlacement placement) {
        this.loads = loads;
        this.placement = placement;
    }

    /**
     * Returns the estimates that a request is decided by.
     *
     * @param demand the request
     * @return the estimates; empty if the request has to be decided without the loads of the engines
     */
    Optional<EngineEstimates> estimates(EngineDemand demand) {
        return demand.maxPauseNanos() == 0 ? Optional.empty() : loads.estimates(demand.pool(), demand.prompt());
    }

    /**
     * Decides on a request.
     *
     * @param demand    the request
     * @param times     its times
     * @param estimates estimates for it
     * @param engines   the engines that may take it
     * @return the decision
     */
    PlacementDecision place(
            EngineDemand demand, PlacementTimes times, EngineEstimates estimates, List<UpstreamRecord> engines) {
        List<EngineCandidate> candidates =
                engines.stream().map(engine -> candidate(engine, estimates)).toList();
        return placement.place(placementDemand(demand, times, estimates), candidates);
    }

    private static PlacementDemand placementDemand(
            EngineDemand demand, PlacementTimes times, EngineEstimates estimates) {
        return new PlacementDemand(
                times.requestId(),
                demand.prompt(),
                times.leftNanos(),
                (long) (demand.objectiveNanos() * MARGIN_SHARE),
                demand.maxPauseNanos(),
                estimates.unseenTokens(),
                times.resumed());
    }

    private static EngineCandidate candidate(UpstreamRecord engine, EngineEstimates estimates) {
        EngineEstimate estimate = estimates.at(engine);
        return new EngineCandidate(
                engine,
                estimates.score(engine),
                estimate.cached(),
                estimate.waitingTokens(),
                estimate.tokensPerNano(),
                estimate.baseNanos(),
                estimate.streams(),
                estimate.longestPauseNanos());
    }
}
