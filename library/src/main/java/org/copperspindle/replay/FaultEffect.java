package org.copperspindle.replay;

/**
 * Effect of a trace's fault on the upstreams that it selects.
 */
public enum FaultEffect {
    /** Work takes longer by a factor. */
    SLOW,
    /** Accepts work and reports load, but finishes nothing until the fault ends. */
    STALL,
    /**
     * The process crashes: connections break and new ones are refused; the upstream leaves the membership when its
     * lease expires.
     */
    CRASH,
    /**
     * The upstream is unreachable: messages are lost in both directions; it leaves the membership when its lease
     * expires.
     */
    LOST,
    /** Every attempt fails immediately with status 500. */
    ERROR,
    /** Load reports are delayed. */
    LATE_REPORTS
}
