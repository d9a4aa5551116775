package org.copperspindle.memory;

/**
 * What held bytes are.
 */
public enum HeldKind {
    /** Bytes of a request that are not decoded yet, and its header fields once they are. */
    REQUEST_HEAD(true),
    /** Body of a request. */
    REQUEST_BODY(true),
    /** Part of an upstream's response that can't be passed to the caller yet. */
    BUFFERED_RESPONSE(false),
    /** Part of a response that waits for the caller to read. */
    UNSENT_RESPONSE(false);

    private final boolean request;

    HeldKind(boolean request) {
        this.request = request;
    }

    /** Returns whether the bytes belong to the request rather than to its response. */
    boolean isRequest() {
        return request;
    }
}
