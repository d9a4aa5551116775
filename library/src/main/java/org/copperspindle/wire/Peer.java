package org.copperspindle.wire;

/**
 * A connection to another process of the system, after the greeting.
 */
public interface Peer {

    /**
     * Returns the greeting that the other side sent.
     *
     * @return the other side's greeting
     */
    GreetingMessage greeting();

    /**
     * Sends a message without blocking. May be called from any thread. The message is refused, and no byte of it is
     * sent, if the connection is closed, if the message exceeds the largest frame, or if too many bytes are waiting
     * for the peer to read; in the last case the connection is closed too. {@code true} doesn't mean that the peer
     * will receive the message.
     *
     * @param message the message
     * @return false if no byte of the message was or will be sent
     */
    boolean send(WireMessage message);

    /**
     * Writes what has been sent. Without this, messages that are sent while the network thread handles other connections
     * are written together after it has handled all of them. Must be called on the network thread.
     */
    default void flush() {}

    /**
     * Returns whether the bytes waiting to be sent are below the high-water mark.
     *
     * @return false if the sender should stop sending for now
     */
    boolean isWritable();

    /**
     * Returns whether the connection was closed because the peer was silent. The peer may still run behind a partition;
     * one that ends closes its connections.
     *
     * @return false while the connection is open, and if it ended in any other way
     */
    default boolean isClosedForSilence() {
        return false;
    }

    /** Closes the connection. */
    void close();
}
