package org.copperspindle.fleet;

/**
 * The outcome of an order.
 */
public enum OrderOutcome {
    /** The engine executed the order. */
    DONE,
    /** The engine executed or may have executed the order, and did not report success. */
    FAILED,
    /**
     * The order was not forwarded to the engine, or the engine rejected its fencing number; it will never be executed.
     */
    REFUSED,
    /** The order was replaced by a later one, or its upstream is gone. */
    WITHDRAWN
}
