package org.copperspindle.direct;

/**
 * Whether responses must repeat the id of their call, by which a late response to another call is recognised.
 */
public enum IdEcho {
    /** A successful response without the id is not used. */
    REQUIRED,
    /**
     * Some upstreams don't repeat the id. Their response is used if its connection has carried no other call, and the
     * connection is closed after it, so that no late response meets a next call.
     */
    OPTIONAL
}
