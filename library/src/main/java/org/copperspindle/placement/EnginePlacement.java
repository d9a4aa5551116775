package org.copperspindle.placement;

import java.util.List;

/**
 * Decides which engine gets a request. A pure function of its arguments.
 */
public interface EnginePlacement {

    /**
     * Decides on a request.
     *
     * @param demand     what the request needs
     * @param candidates the engines that may take it; others are left out by the caller
     * @return the decision
     */
    PlacementDecision place(PlacementDemand demand, List<EngineCandidate> candidates);
}
