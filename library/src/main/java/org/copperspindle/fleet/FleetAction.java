package org.copperspindle.fleet;

/**
 * What the planner wants done.
 */
public sealed interface FleetAction {

    /**
     * Commit and send an order.
     *
     * @param upstreamId upstream that is meant
     * @param kind       what to do
     * @param subject    model or adapter
     */
    record Place(String upstreamId, OrderKind kind, String subject) implements FleetAction {}

    /**
     * Give an order up.
     *
     * @param order  the order
     * @param reason why
     */
    record Withdraw(OpenOrder order, String reason) implements FleetAction {}
}
