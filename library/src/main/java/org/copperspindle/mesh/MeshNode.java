package org.copperspindle.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * Another node as this one sees it.
 */
public final class MeshNode {

    private final String address;
    private final List<Peer> peers = new ArrayList<>();
    private long incarnation;
    private NodeHelloMessage hello;
    private List<String> neighbours = List.of();
    private final Map<Class<?>, WireMessage> told = new HashMap<>();

    MeshNode(String address) {
        this.address = address;
    }

    /**
     * Returns where the node listens for other nodes; this is also its name.
     *
     * @return IP:PORT
     */
    public String address() {
        return address;
    }

    /**
     * Returns what the node said of itself last.
     *
     * @return its newest hello; null until the first came, which listeners never see
     */
    public NodeHelloMessage hello() {
        return hello;
    }

    /**
     * Returns the nodes that the node is connected to, as it said last.
     *
     * @return their addresses
     */
    public List<String> neighbours() {
        return neighbours;
    }

    /**
     * Returns which life of the node's process this is.
     *
     * @return larger for each restart
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
        // The newest connection first: an older one may lead nowhere and not have been found out yet.
        for (int i = peers.size() - 1; i >= 0; i--) {
            if (peers.get(i).send(message)) {
                return true;
            }
        }
        return false;
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

    /** Sends a message unless it is the one of its kind that was sent last. */
    void tell(WireMessage message) {
        boolean isNews = !message.equals(told.get(message.getClass()));
        if (isNews && send(message)) {
            told.put(message.getClass(), message);
        }
    }

    /** Takes a connection; one of an older life is refused, those of older lives are closed. */
    boolean open(Peer peer) {
        long life = peer.greeting().incarnation();
        if (life < incarnation) {
            return false;
        }
        if (life > incarnation) {
            incarnation = life;
            List<Peer> older = List.copyOf(peers);
            peers.clear();
            older.forEach(Peer::close);
        }
        peers.add(peer);
        told.clear();
        return true;
    }

    boolean closed(Peer peer) {
        // What was sent on it last may not have arrived.
        told.clear();
        return peers.remove(peer);
    }
}
