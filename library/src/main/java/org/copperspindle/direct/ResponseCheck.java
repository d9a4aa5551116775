package org.copperspindle.direct;

/**
 * By what a response is recognised as that of its call. A late or second response to another call may arrive in its place.
 */
public enum ResponseCheck {
    /** A successful response without the id of the request is not used. */
    REPEATED_ID,
    /** The call is the node's own and bears no id: its listener decides by what the response holds. */
    CONTENT
}
