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

    /**
     * The request waits, and is decided again then.
     *
     * @param nanos how long, in nanoseconds
     */
    record Wait(long nanos) implements PlacementDecision {}

    /** There is no engine to choose from. */
    record None() implements PlacementDecision {}
}
