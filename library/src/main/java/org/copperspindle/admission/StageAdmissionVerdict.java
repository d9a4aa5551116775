package org.copperspindle.admission;

/**
 * Decision on a request whose route has stages.
 */
public enum StageAdmissionVerdict {
    /** The stages start now. */
    BEGIN,
    /** The request is deferred: it waits without holding any stage results, and is evaluated again. */
    HOLD,
    /** The request is refused: the stages have no capacity for it in its time. */
    REFUSE
}
