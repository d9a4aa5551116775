package org.copperspindle.fleet;

/**
 * What the agent does with an order.
 */
public sealed interface FencingVerdict {

    /** It goes to the engine. */
    record Pass() implements FencingVerdict {}

    /** It is a copy of one that is being carried out: nothing happens. */
    record Running() implements FencingVerdict {}

    /**
     * It is a copy of one that has ended: the report is sent again.
     *
     * @param report the report
     */
    record Repeat(OrderReportMessage report) implements FencingVerdict {}

    /**
     * It is refused, now and for every copy.
     *
     * @param reason why
     */
    record Refuse(String reason) implements FencingVerdict {}
}
