package org.copperspindle.standby;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The nodes that membership designates for a pool. All nodes with the same view of the mesh agree on them.
 */
public interface DispatcherChoice {

    /**
     * Returns the node that dispatches a pool unless its standby has taken over.
     *
     * @param pool name of the pool
     * @return name of the node
     */
    String dispatcherNode(String pool);

    /**
     * Returns the node that takes over a pool whose dispatcher is silent.
     *
     * @param pool name of the pool
     * @return name of the node; empty if no other node serves
     */
    Optional<String> standbyNode(String pool);

    /**
     * Returns the incarnation of another node's process.
     *
     * @param node name of the node
     * @return the last known incarnation; empty if the node is unknown
     */
    OptionalLong incarnation(String node);

    /**
     * Returns whether another node can be reached directly or through a third one.
     *
     * @param node name of the node
     * @return false if messages to it would be lost
     */
    boolean canReach(String node);

    /**
     * Returns the nodes that have recently been lost but can be reached through others.
     *
     * @return their names
     */
    List<String> lostButReachable();
}
