package org.copperspindle.discovery;

/**
 * Phase in the life cycle of an upstream.
 */
public enum UpstreamPhase {
    /** Accepts requests. */
    READY,
    /** Completes its running requests and accepts no new ones. */
    DRAINING,
    /** Has left; its id returns only with a later incarnation. */
    GONE,
    /**
     * Announced in a response that it is leaving. Treated as draining, and no announcement of the same incarnation
     * makes it ready again.
     */
    LEAVING;

    /**
     * Returns the phase with a wire number.
     *
     * @param number ordinal
     * @return the phase; {@link #DRAINING} for numbers of a newer build, which is the safe choice
     */
    static UpstreamPhase of(long number) {
        return number >= 0 && number < values().length ? values()[(int) number] : DRAINING;
    }
}
