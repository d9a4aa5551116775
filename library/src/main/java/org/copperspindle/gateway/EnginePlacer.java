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
import org.copperspindle.routing.RendezvousScore;

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
     * Decides on a request.
     *
     * @param demand  the request
     * @param times   its times
     * @param engines the engines that may take it
     * @return the decision; empty if the request has to be decided without the loads of the engines
     */
    Optional<PlacementDecision> place(EngineDemand demand, PlacementTimes times, List<UpstreamRecord> engines) {
        if (demand.maxPauseNanos() == 0 || engines.isEmpty()) {
            return Optional.empty();
        }
        return loads.estimates(demand.pool(), demand.prompt())
                .map(estimates -> placement.place(
                        placementDemand(demand, times, estimates),
                        engines.stream()
                                .map(engine -> candidate(demand, engine, estimates.at(engine)))
                                .toList()));
    }

    private static PlacementDemand placementDemand(
            EngineDemand demand, PlacementTimes times, EngineEstimates estimates) {
        return new PlacementDemand(
                times.requestId(),
                demand.prompt().tokens(),
                demand.prompt().sharedTokens(),
                times.leftNanos(),
                (long) (demand.objectiveNanos() * MARGIN_SHARE),
                demand.maxPauseNanos(),
                times.waitedNanos(),
                estimates.unseenTokens(),
                times.resumed());
    }

    private static EngineCandidate candidate(EngineDemand demand, UpstreamRecord engine, EngineEstimate estimate) {
        return new EngineCandidate(
                engine,
                RendezvousScore.of(demand.prompt().shared(), engine.id()),
                estimate.cached(),
                estimate.waitingTokens(),
                estimate.tokensPerNano(),
                estimate.baseNanos(),
                estimate.streams(),
                estimate.longestPauseNanos());
    }
}
