package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * A role of a process: entry, agent or control.
 */
interface ProcessRole {

    /**
     * Returns the types of incoming messages that this role handles.
     *
     * @return message classes
     */
    Set<Class<? extends WireMessage>> messages();

    /**
     * Returns the listener for these messages.
     *
     * @return the listener, called on network threads
     */
    PeerListener listener();

    /** Starts the role. Called once, before any message arrives. */
    void start();

    /**
     * Returns whether the role is serving.
     *
     * @return false while it is starting, isolated or stopping
     */
    default boolean ready() {
        return true;
    }

    /**
     * Stops gracefully: work in progress is finished. Called on the decision ring.
     *
     * @param done called when nothing is in progress any more
     */
    void stop(Runnable done);

    /** Releases all resources. Called once, after {@link #stop} or instead of it. */
    void close();

    /**
     * Returns the HTTP address of the role.
     *
     * @return the bound address, if it has one
     */
    default Optional<InetSocketAddress> httpAddress() {
        return Optional.empty();
    }
}
