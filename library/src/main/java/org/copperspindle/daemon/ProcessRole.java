package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * One role of a process.
 */
interface ProcessRole {

    /**
     * Returns the incoming messages that are for this role.
     *
     * @return their classes
     */
    Set<Class<? extends WireMessage>> messages();

    /**
     * Returns who takes them.
     *
     * @return called on network threads
     */
    PeerListener listener();

    /** Starts to work. Called once, before any message arrives. */
    void start();

    /**
     * Says whether the role serves.
     *
     * @return false while starting, cut off or stopping
     */
    default boolean ready() {
        return true;
    }

    /**
     * Stops without cutting anything off. Called on the decision ring.
     *
     * @param done run when nothing is in progress any more
     */
    void stop(Runnable done);

    /** Closes what is open. Called once, after {@link #stop} or in place of it. */
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
