package org.copperspindle.discovery;

/**
 * Where an upstream stands in its life.
 */
public enum UpstreamPhase {
    /** Takes requests. */
    READY,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Has left; its id comes back only with a later incarnation. */
    GONE,
    /** Has said in an answer that it leaves: as if it drained, and no announcement of the same life brings it back. */
    LEAVING;

    /**
     * Finds a phase by its number on the wire.
     *
     * @param number ordinal
     * @return the phase; {@link #DRAINING} for numbers of a newer build, which is safe
     */
    static UpstreamPhase of(long number) {
        return number >= 0 && number < values().length ? values()[(int) number] : DRAINING;
    }
}
