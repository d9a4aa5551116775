package org.copperspindle.entry;

import java.net.InetSocketAddress;

import org.copperspindle.wire.WireMessage;

/**
 * How an entry reaches agents. Called on the decision ring; never blocks.
 */
interface AgentPort {

    /**
     * Sends a message, connecting first where needed. What can't be sent comes back by
     * {@link AgentListener#onNotSent}, never from inside this call.
     *
     * @param agent   address of the agent
     * @param message the message
     */
    void send(InetSocketAddress agent, WireMessage message);

    /**
     * Says whether there is a connection.
     *
     * @param agent address of the agent
     * @return false if it is not open, or not yet
     */
    boolean isOpen(InetSocketAddress agent);

    /**
     * Returns what is known of an agent's clock.
     *
     * @param agent       address of the agent
     * @param incarnation life of the agent that is meant
     * @return a reading in microseconds, 0 if none of that life is known
     */
    long clockMicros(InetSocketAddress agent, long incarnation);
}
