package org.copperspindle.route;

/**
 * Whether the requests of a route may be repeated. The kind decides, never the method or the name of the request.
 */
public enum RouteKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Runs at most once for each request. */
    UNSAFE,
    /** Responds with a series of events; runs at most once unless the route allows it to be resumed. */
    STREAM
}
