package org.copperspindle.limits;

/**
 * Which {@link EntryPolicy} an entry runs.
 */
public enum PolicyKind {
    /** Learns from what it sees; the one to serve with. */
    ADAPTIVE,
    /** Round robin, fixed timeouts, plain retries, first come first served; to measure others against. */
    BASELINE,
    /** Least load and fixed rates, without timeouts of attempts; the first version, kept for comparison. */
    LEAST_LOAD
}
