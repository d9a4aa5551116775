package org.copperspindle.route;

/**
 * Reads the text of a configuration. Each format that a deployment may use has an implementation.
 */
@FunctionalInterface
public interface RouteTableReader {

    /**
     * Reads and checks a text.
     *
     * @param text the text as sent by the operator
     * @return the table, or why it is invalid
     */
    RouteTableResult read(byte[] text);
}
