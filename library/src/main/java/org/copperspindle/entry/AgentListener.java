package org.copperspindle.entry;

import java.net.InetSocketAddress;

import org.copperspindle.wire.WireMessage;

/**
 * Receives messages and connection events of agents, on the decision ring.
 */
interface AgentListener {

    /**
     * Called when a message arrived.
     *
     * @param agent   address of the agent
     * @param message the message
     */
    void onMessage(InetSocketAddress agent, WireMessage message);

    /**
     * Called when a message was not sent: no byte of it left this process, and none will.
     *
     * @param message the message
     */
    void onNotSent(WireMessage message);

    /**
     * Called when the connection was lost; what was sent on it may or may not have arrived.
     *
     * @param agent address of the agent
     */
    void onLinkLost(InetSocketAddress agent);
}
