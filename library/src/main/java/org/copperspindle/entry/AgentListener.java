package org.copperspindle.entry;

import java.net.InetSocketAddress;

import org.copperspindle.wire.WireMessage;

/**
 * Hears what comes from agents, on the decision ring.
 */
interface AgentListener {

    /**
     * A message arrived.
     *
     * @param agent   address of the agent
     * @param message the message
     */
    void onMessage(InetSocketAddress agent, WireMessage message);

    /**
     * A message was not sent: no byte of it left this process, and none will.
     *
     * @param message the message
     */
    void onNotSent(WireMessage message);

    /**
     * The connection ended; what was sent may or may not have arrived.
     *
     * @param agent address of the agent
     */
    void onLinkLost(InetSocketAddress agent);
}
