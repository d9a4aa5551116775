package org.copperspindle.placement;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * The decision on the engine of a request.
 */
public sealed interface PlacementDecision {

    /**
     * The request is sent now.
     *
     * @param engine its engine
     * @param reason why that engine
     */
    record Send(UpstreamRecord engine, PlacementReason reason) implements PlacementDecision {}

    /** There is no engine to choose from. */
    record None() implements PlacementDecision {}
}
