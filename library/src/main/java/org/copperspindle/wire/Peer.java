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
     * Sends a message without waiting. Callable from any thread.
     *
     * @param message what to send
     * @return false if the connection is known to be closed, so that no byte of the message was sent
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
