package org.copperspindle.replay;

/**
 * Measure that an expected outcome of a trace limits.
 */
public enum OutcomeMeasure {
    /** Share of requests that were answered completely within their deadline. */
    ATTAINMENT,
    /** Attainment divided by that of the baseline policy. */
    ATTAINMENT_OF_BASELINE,
    /** Cost for each attained request divided by that of the baseline policy. */
    COST_OF_BASELINE,
    /** Share of cost spent on requests that missed their deadline or failed, or on abandoned attempts. */
    WASTED,
    /** Attempts beyond the first of their stage, divided by first attempts. */
    EXTRA_ATTEMPTS,
    /** Largest difference in attainment between the given client accounts. */
    UNFAIRNESS,
    /** Seconds from the end of the last fault until attainment is back near its level before the first fault. */
    RECOVERY
}
