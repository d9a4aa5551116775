package org.copperspindle.direct;

/**
 * Whether a call may be sent on a kept connection.
 */
public enum ConnectionUse {
    /**
     * On a new connection. A kept one may have been closed by the upstream or may not respond any more; a call lost
     * with it may have run, and one that must not run twice could not be sent again.
     */
    NEW,
    /**
     * On a kept connection if there is one; a call that is lost with it before any response is sent once more on a new
     * one.
     */
    KEPT,
    /**
     * Like {@link #KEPT}, on a connection whose last call had another target. If that call is answered a second time, the
     * response shows by its form that it does not belong to this one.
     */
    KEPT_AFTER_OTHER
}
