package org.copperspindle.quarantine;

/**
 * Whether requests with a suspect may be sent to an upstream.
 */
enum HoldState {
    /** Without restriction. */
    FREE,
    /**
     * One at a time, to learn whether upstreams survive it: its quarantine is over, or the upstream runs software under
     * which none has terminated.
     */
    TRIAL,
    /** Not at all. */
    HELD
}
