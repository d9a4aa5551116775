package org.copperspindle.fleet;

/**
 * An action that the planner requests.
 */
public sealed interface FleetAction {

    /**
     * Commit and send an order.
     *
     * @param upstreamId target upstream
     * @param kind       operation
     * @param subject    model or adapter
     */
    record Place(String upstreamId, OrderKind kind, String subject) implements FleetAction {}

    /**
     * Abandon an order.
     *
     * @param order  the order
     * @param reason reason for abandoning it
     */
    record Withdraw(OpenOrder order, String reason) implements FleetAction {}
}
