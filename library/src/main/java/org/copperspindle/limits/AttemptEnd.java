package org.copperspindle.limits;

/**
 * Outcome of an attempt as observed by the entry that dispatched it.
 */
public enum AttemptEnd {
    /** A complete, successful response. */
    SUCCEEDED,
    /** A complete response that reports a failure. */
    FAILED,
    /** Refused with proof that it did not and will not run. */
    REFUSED,
    /** Its connection was lost. */
    LOST,
    /** Abandoned because it exceeded its timeout. */
    TIMED_OUT,
    /** Withdrawn because its request ended first. */
    WITHDRAWN
}
