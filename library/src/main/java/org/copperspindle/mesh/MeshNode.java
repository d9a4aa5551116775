package org.copperspindle.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * Another node of the mesh, with its connections and last known state.
 */
public final class MeshNode {

    private final String address;
    private final List<Peer> peers = new ArrayList<>();
    private long incarnation;
    private NodeHelloMessage hello;
    private List<String> neighbours = List.of();
    private boolean silent;
    private final Map<Class<?>, WireMessage> lastSent = new HashMap<>();

    MeshNode(String address) {
        this.address = address;
    }

    /**
     * Returns the address at which the node listens for other nodes; it is also its name.
     *
     * @return IP:PORT
     */
    public String address() {
        return address;
    }

    /**
     * Returns the last hello of the node.
     *
     * @return its newest hello; null until the first one arrives, before which listeners are not notified
     */
    public NodeHelloMessage hello() {
        return hello;
    }

    /**
     * Returns the nodes that this node last reported to be connected to.
     *
     * @return their addresses
     */
    public List<String> neighbours() {
        return neighbours;
    }

    /**
     * Returns the incarnation of the node's process.
     *
     * @return the incarnation, larger after each restart
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Sends a message.
     *
     * @param message the message
     * @return false if no byte of it was sent
     */
    public boolean send(WireMessage message) {
        // Tries the newest connection first: an older one may be broken without having been detected yet.
        for (int i = peers.size() - 1; i >= 0; i--) {
            if (peers.get(i).send(message)) {
                return true;
            }
        }
        return false;
    }

    /** Writes what has been sent to the node, before what else the network thread has to do in this turn. */
    void flush() {
        peers.forEach(Peer::flush);
    }

    /**
     * Returns whether the last connection that ended was closed because the node was silent.
     *
     * @return true if the node may still run behind a partition
     */
    public boolean isSilent() {
        return silent;
    }

    boolean isUp() {
        return hello != null && !peers.isEmpty();
    }

    boolean isConnected() {
        return !peers.isEmpty();
    }

    void hello(NodeHelloMessage newest) {
        hello = newest;
    }

    void neighbours(List<String> newest) {
        neighbours = newest;
    }

    /** Sends a message unless it equals the last one of its type. */
    void sendIfChanged(WireMessage message) {
        boolean isChanged = !message.equals(lastSent.get(message.getClass()));
        if (isChanged && send(message)) {
            lastSent.put(message.getClass(), message);
        }
    }

    /**
     * Adds a connection. Returns false for a connection of an older incarnation; connections of older incarnations
     * are closed when a newer one appears.
     */
    boolean addPeer(Peer peer) {
        long peerIncarnation = peer.greeting().incarnation();
        if (peerIncarnation < incarnation) {
            return false;
        }
        if (peerIncarnation > incarnation) {
            incarnation = peerIncarnation;
            closePeers();
        }
        peers.add(peer);
        lastSent.clear();
        return true;
    }

    void closePeers() {
        List<Peer> outdated = List.copyOf(peers);
        peers.clear();
        outdated.forEach(Peer::close);
    }

    boolean removePeer(Peer peer) {
        // The last messages on this connection may not have arrived, so they are sent again.
        lastSent.clear();
        silent = peer.isClosedForSilence();
        return peers.remove(peer);
    }
}
