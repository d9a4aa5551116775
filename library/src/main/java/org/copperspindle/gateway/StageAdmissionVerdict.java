package org.copperspindle.gateway;

/**
 * What becomes of a request whose route has stages.
 */
enum StageAdmissionVerdict {
    /** Its stages begin. */
    BEGIN,
    /** It waits without holding any results, and is judged again. */
    HOLD,
    /** It is refused: there is no room for it in its time. */
    REFUSE
}
