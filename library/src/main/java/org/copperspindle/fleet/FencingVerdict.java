package org.copperspindle.fleet;

/**
 * How an agent handles an order.
 */
public sealed interface FencingVerdict {

    /** The order is forwarded to the engine. */
    record Pass() implements FencingVerdict {}

    /** The order is a duplicate of the one in progress and is ignored. */
    record Running() implements FencingVerdict {}

    /**
     * The order is a duplicate of a completed one, whose report is sent again.
     *
     * @param report the report
     */
    record Repeat(OrderReportMessage report) implements FencingVerdict {}

    /**
     * The order is refused, and so are all its duplicates.
     *
     * @param reason reason of the refusal
     */
    record Refuse(String reason) implements FencingVerdict {}
}
