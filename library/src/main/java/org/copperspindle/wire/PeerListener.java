package org.copperspindle.wire;

/**
 * Receives the events of connections. Called on network threads: implementations hand over to their decision ring and
 * never wait. An event that is refused is offered again, and later events of the same connection wait behind it, so
 * that a listener sees open, messages and close in this order and each exactly once.
 */
public interface PeerListener {

    /**
     * A connection was greeted in both directions.
     *
     * @param peer the connection
     * @return false if the event can't be taken now and must be offered again
     */
    boolean onOpen(Peer peer);

    /**
     * A message arrived.
     *
     * @param peer    its connection
     * @param message the message
     * @return false if it can't be taken now; reading pauses and the message is offered again
     */
    boolean onMessage(Peer peer, WireMessage message);

    /**
     * A greeted connection ended.
     *
     * @param peer the connection
     * @return false if the event can't be taken now and must be offered again
     */
    boolean onClose(Peer peer);
}
