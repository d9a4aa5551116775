package org.copperspindle.wire;

/**
 * One greeted connection to another process of the system.
 */
public interface Peer {

    /**
     * Returns who is at the other end.
     *
     * @return the other side's greeting
     */
    GreetingMessage greeting();

    /**
     * Sends a message without waiting. Callable from any thread. A message is refused, and no byte of it leaves, if the
     * connection is closed, if the message exceeds the largest frame, or if the peer has not read what was sent before;
     * in the last case the connection is closed too. After {@code true} it is not known whether the peer gets it.
     *
     * @param message what to send
     * @return false if no byte of the message was sent or will be
     */
    boolean send(WireMessage message);

    /**
     * Says whether the bytes waiting to be sent are below the high-water mark.
     *
     * @return false if the sender should hold back
     */
    boolean isWritable();

    /** Closes the connection. */
    void close();
}
