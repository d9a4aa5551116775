package org.copperspindle.batch;

/**
 * A node's own status as a candidate for dispatcher, the node that batches the calls of a pool for all nodes.
 */
public interface DispatcherStatus {

    /**
     * Returns whether the node takes work for others.
     *
     * @return false while it starts or stops
     */
    boolean isServing();

    /**
     * Returns how suitable the node is as dispatcher.
     *
     * @return a higher number for nodes that are to be preferred
     */
    int fitness();
}
