package org.copperspindle.route;

/**
 * What may be repeated on a route. The kind decides, never the method or the name of the request.
 */
public enum RouteKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Runs at most once for each request. */
    UNSAFE,
    /** Answers with a series of events; runs at most once unless the route lets it be resumed. */
    STREAM
}
