package org.copperspindle.direct;

/**
 * Limit on the idle connections that a node keeps to an upstream. They count against the connections that the upstream
 * accepts from all nodes together.
 */
@FunctionalInterface
public interface IdleConnectionLimit {

    /**
     * Returns the maximum number of idle connections to one upstream.
     *
     * @param address IP:PORT of the upstream
     * @return a count, 0 if each call needs a new connection
     */
    int maxIdle(String address);
}
