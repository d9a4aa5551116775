package org.copperspindle.limits;

/**
 * Kind of {@link EntryPolicy} that an entry uses.
 */
public enum PolicyKind {
    /** Adapts to observed latencies and failures; the default for production. */
    ADAPTIVE,
    /** Round robin, fixed timeouts, plain retries, first come, first served; the reference for measurements. */
    BASELINE,
    /** Least load and fixed rates, without attempt timeouts; the first policy, kept for comparison. */
    LEAST_LOAD
}
