package org.copperspindle.replay;

/**
 * What a stated outcome of a trace is about.
 */
public enum OutcomeMeasure {
    /** Share of arrivals that were answered whole within their deadline. */
    ATTAINMENT,
    /** Attainment divided by that of the baseline policy. */
    ATTAINMENT_OF_BASELINE,
    /** Cost for each attained request divided by that of the baseline policy. */
    COST_OF_BASELINE,
    /** Share of cost spent on requests that missed, or on attempts that were given up. */
    WASTED,
    /** Attempts beyond the first of their stage, divided by first attempts. */
    EXTRA_ATTEMPTS,
    /** Largest difference of attainment between the accounts named. */
    UNFAIRNESS,
    /** Seconds from the last fault's end until attainment is back at that of before the first fault. */
    RECOVERY
}
