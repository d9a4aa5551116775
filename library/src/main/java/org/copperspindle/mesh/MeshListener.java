package org.copperspindle.mesh;

import org.copperspindle.wire.WireMessage;

/**
 * Hears of other nodes. Called on the network thread.
 */
public interface MeshListener {

    /**
     * A node is connected and has said who it is.
     *
     * @param node the node
     */
    default void onNodeUp(MeshNode node) {}

    /**
     * The last connection to a node ended.
     *
     * @param node the node
     */
    default void onNodeDown(MeshNode node) {}

    /**
     * One of several connections to a node ended, with what was on its way; the node is still connected.
     *
     * @param node the node
     */
    default void onConnectionLost(MeshNode node) {}

    /**
     * A node said something new of itself.
     *
     * @param node the node
     */
    default void onHello(MeshNode node) {}

    /**
     * A message arrived that is not the mesh's own.
     *
     * @param node    who sent it
     * @param message the message
     */
    default void onMessage(MeshNode node, WireMessage message) {}
}
