package org.copperspindle.wire;

/**
 * Receives the events of peer connections. Called on network threads: implementations pass the event to their
 * decision ring and never block. A refused event is offered again, and later events of the same connection are
 * queued behind it, so that a listener receives open, messages and close in this order and each exactly once.
 */
public interface PeerListener {

    /**
     * Called when both sides of a connection have sent their greeting.
     *
     * @param peer the connection
     * @return false if the event can't be accepted now and must be offered again
     */
    boolean onOpen(Peer peer);

    /**
     * Called for each received message.
     *
     * @param peer    its connection
     * @param message the message
     * @return false if the message can't be accepted now; reading pauses and the message is offered again
     */
    boolean onMessage(Peer peer, WireMessage message);

    /**
     * Called when a connection that was opened has closed.
     *
     * @param peer the connection
     * @return false if the event can't be accepted now and must be offered again
     */
    boolean onClose(Peer peer);
}
