package org.copperspindle.limits;

/**
 * How an attempt ended, as the entry that dispatched it saw it.
 */
public enum AttemptEnd {
    /** A whole, successful answer. */
    SUCCEEDED,
    /** A whole answer that says it failed. */
    FAILED,
    /** Refused with proof that it never runs. */
    REFUSED,
    /** Its connection broke. */
    LOST,
    /** Given up because it took longer than its timeout. */
    TIMED_OUT,
    /** Withdrawn because its request ended first. */
    WITHDRAWN
}
