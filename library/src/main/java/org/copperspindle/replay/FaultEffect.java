package org.copperspindle.replay;

/**
 * What a fault of a trace does to the upstreams that it names.
 */
public enum FaultEffect {
    /** Work takes longer by a factor. */
    SLOW,
    /** Takes work and reports load, but finishes nothing until the fault ends. */
    STALL,
    /** Process dies: connections break, new ones are refused; membership follows after the lease. */
    CRASH,
    /** Silence: nothing arrives, nothing comes back; membership follows after the lease. */
    LOST,
    /** Every attempt ends at once with status 500. */
    ERROR,
    /** Reported load is older than usual. */
    LATE_REPORTS
}
