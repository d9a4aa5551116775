package org.copperspindle.batch;

/**
 * What a node knows of itself as one that packs calls for all nodes.
 */
public interface DispatcherStatus {

    /**
     * Says whether the node takes work for others.
     *
     * @return false while it starts or stops
     */
    boolean isServing();

    /**
     * Says how fit the node is for it.
     *
     * @return higher for nodes that should rather pack than others
     */
    int fitness();
}
