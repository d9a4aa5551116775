package org.copperspindle.memory;

/**
 * What held bytes are.
 */
public enum HeldKind {
    /** Body of a request in progress. */
    REQUEST_BODY,
    /** Part of an upstream's response that can't be passed to the caller yet. */
    BUFFERED_RESPONSE,
    /** Part of a response that waits for the caller to read. */
    UNSENT_RESPONSE
}
