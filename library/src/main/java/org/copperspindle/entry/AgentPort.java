package org.copperspindle.entry;

import java.net.InetSocketAddress;

import org.copperspindle.wire.WireMessage;

/**
 * Sends messages of an entry to agents. Called on the decision ring; never blocks.
 */
interface AgentPort {

    /**
     * Sends a message, connecting first if needed. A message that can't be sent is reported through
     * {@link AgentListener#onNotSent}, never from inside this call.
     *
     * @param agent   address of the agent
     * @param message the message
     */
    void send(InetSocketAddress agent, WireMessage message);

    /**
     * Returns whether there is an open connection.
     *
     * @param agent address of the agent
     * @return false if it is not open, or not yet
     */
    boolean isOpen(InetSocketAddress agent);

    /**
     * Returns the latest known clock reading of an agent.
     *
     * @param agent       address of the agent
     * @param incarnation incarnation of the agent
     * @return a reading in microseconds, 0 if none of that incarnation is known
     */
    long clockMicros(InetSocketAddress agent, long incarnation);
}
