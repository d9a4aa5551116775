package org.copperspindle.mesh;

import org.copperspindle.wire.WireMessage;

/**
 * Listener for events of the mesh. Called on the network thread.
 */
public interface MeshListener {

    /**
     * Called when a node is connected and has sent its hello.
     *
     * @param node the node
     */
    default void onNodeUp(MeshNode node) {}

    /**
     * Called when the last connection to a node has ended.
     *
     * @param node the node
     */
    default void onNodeDown(MeshNode node) {}

    /**
     * Called when one of several connections to a node has ended and messages on it may be lost; the node is still
     * connected.
     *
     * @param node the node
     */
    default void onConnectionLost(MeshNode node) {}

    /**
     * Called when a node has sent an updated hello.
     *
     * @param node the node
     */
    default void onHello(MeshNode node) {}

    /**
     * Called for a message that the mesh itself does not handle.
     *
     * @param node    sender of the message
     * @param message the message
     */
    default void onMessage(MeshNode node, WireMessage message) {}
}
