package org.copperspindle.route;

/**
 * How reading a configuration ended.
 */
public sealed interface RouteTableResult {

    /**
     * The text holds a valid table.
     *
     * @param table the table
     */
    record Valid(RouteTable table) implements RouteTableResult {}

    /**
     * The text can't be read in full or is invalid.
     *
     * @param problem what is wrong and where, for the operator
     */
    record Invalid(String problem) implements RouteTableResult {}
}
