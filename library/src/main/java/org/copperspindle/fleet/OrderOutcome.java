package org.copperspindle.fleet;

/**
 * How an order ended.
 */
public enum OrderOutcome {
    /** The engine did it. */
    DONE,
    /** The engine tried or may have tried, and did not report success. */
    FAILED,
    /** It was not passed to the engine, or the engine refused it by its number; it never will be carried out. */
    REFUSED,
    /** A later order took its place, or its upstream is gone. */
    WITHDRAWN
}
