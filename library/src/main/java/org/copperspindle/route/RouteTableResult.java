package org.copperspindle.route;

/**
 * Result of reading a configuration.
 */
public sealed interface RouteTableResult {

    /**
     * The text holds a valid table.
     *
     * @param table the table
     */
    record Valid(RouteTable table) implements RouteTableResult {}

    /**
     * The text cannot be read completely or is invalid.
     *
     * @param problem what is wrong and where, for the operator
     */
    record Invalid(String problem) implements RouteTableResult {}
}
