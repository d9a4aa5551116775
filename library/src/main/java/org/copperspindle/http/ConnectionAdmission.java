package org.copperspindle.http;

/**
 * Decides which new connections a listener takes.
 */
@FunctionalInterface
public interface ConnectionAdmission {

    /** Takes all connections, up to the limit of the listener. */
    ConnectionAdmission ALL = openConnections -> true;

    /**
     * Decides on one connection. Called on a network thread, before anything of it is read.
     *
     * @param openConnections open connections, including this one
     * @return false to close it without an answer, so that its caller tries elsewhere
     */
    boolean admits(int openConnections);

    /**
     * Returns whether there may be so many connections at all. If not, one that is not used may give way.
     *
     * @param openConnections open connections, including a new one
     * @return false if there are too many, whatever the load
     */
    default boolean hasRoom(int openConnections) {
        return true;
    }
}
