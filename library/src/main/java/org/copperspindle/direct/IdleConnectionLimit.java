package org.copperspindle.direct;

/**
 * The bound on idle connections that a node keeps to an upstream. They count against what the upstream accepts from all
 * nodes together.
 */
@FunctionalInterface
public interface IdleConnections {

    /**
     * Returns the bound for one upstream.
     *
     * @param address IP:PORT of the upstream
     * @return a count, 0 if each call needs a new connection
     */
    int most(String address);
}
