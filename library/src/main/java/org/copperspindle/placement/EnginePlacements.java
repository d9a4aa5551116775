package org.copperspindle.placement;

/**
 * Creates placements of prompts at engines.
 */
public final class EnginePlacements {

    private EnginePlacements() {}

    /**
     * Returns the placement that keeps a request at the engine that has cached its shared part, unless its prompt would
     * come late there or interrupt the streams that run there.
     *
     * @return a placement without state
     */
    public static EnginePlacement undisturbed() {
        return new UndisturbedPlacement();
    }
}
