package org.copperspindle.wire;

/**
 * Receives the events of connections. Called on network threads: implementations hand over to their decision ring.
 */
public interface PeerListener {

    /**
     * A connection was greeted in both directions.
     *
     * @param peer the connection
     */
    void onOpen(Peer peer);

    /**
     * A message arrived.
     *
     * @param peer    its connection
     * @param message the message
     * @return false if it can't be taken now; reading pauses and the message is offered again
     */
    boolean onMessage(Peer peer, WireMessage message);

    /**
     * A greeted connection ended; called once.
     *
     * @param peer the connection
     */
    void onClose(Peer peer);
}
