package org.copperspindle.route;

/**
 * Reads the text of a configuration. Each format that a deployment may use has an implementation.
 */
@FunctionalInterface
public interface RouteTableReader {

    /**
     * Reads and checks a text.
     *
     * @param text the text as the operator sent it
     * @return the table, or why there is none
     */
    RouteTableResult read(byte[] text);
}
