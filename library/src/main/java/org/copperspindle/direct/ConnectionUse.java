package org.copperspindle.direct;

/**
 * On which connection a call may go out.
 */
public enum ConnectionUse {
    /**
     * On a new one. A kept connection may have been closed by the upstream or have gone silent; a call lost with it may
     * have run, and one that must not run twice could not be sent again.
     */
    NEW,
    /** On a kept one if there is any; a call that is lost with it before any answer is sent once more on a new one. */
    KEPT
}
