package org.copperspindle.quarantine;

/**
 * What the complete response of an upstream proves about the request that it ran.
 */
public enum RunOutcome {
    /** The upstream answered the request with success, and is still alive. */
    ANSWERED,
    /** The upstream refused the request or failed it, and is still alive; it may not have worked on its prompt. */
    FAILED,
    /**
     * The upstream answered the request with success, but the response has no length and ended with its connection, as it
     * does when an upstream crashes.
     */
    ENDED_WITH_CONNECTION
}
