package org.copperspindle.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;

/**
 * Sends messages to nodes without a direct connection through a node that is connected to both. Members of the
 * control group may be partitioned from each other while all other nodes reach them; without a relay the two sides
 * would choose different nodes for work that only one node may do at a time. A message passes through at most one
 * other node.
 */
public final class MeshRelay implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(MeshRelay.class);

    private final NodeMesh mesh;
    private final MessageRegistry registry;
    private final List<MeshListener> listeners = new ArrayList<>();

    /**
     * Creates the relay. The caller subscribes it to the mesh.
     *
     * @param mesh     the nodes
     * @param registry encodes and decodes relayed messages
     */
    public MeshRelay(NodeMesh mesh, MessageRegistry registry) {
        this.mesh = mesh;
        this.registry = registry;
    }

    /**
     * Adds a listener for relayed messages.
     *
     * @param receiver called as if the messages had arrived directly
     */
    public void subscribe(MeshListener receiver) {
        listeners.add(receiver);
    }

    /**
     * Returns the mesh of directly connected nodes.
     *
     * @return the mesh
     */
    public NodeMesh mesh() {
        return mesh;
    }

    /**
     * Sends a message directly or through another node.
     *
     * @param address name of the receiving node
     * @param message the message
     * @return false if no route to the node is known
     */
    public boolean send(String address, WireMessage message) {
        Optional<MeshNode> direct = mesh.find(address);
        if (direct.isPresent()) {
            return direct.get().send(message);
        }
        return findRelay(address)
                .map(node -> node.send(new RelayMessage(mesh.self(), address, registry.encode(message))))
                .orElse(false);
    }

    /**
     * Returns whether a node can be reached directly or through a connected node.
     *
     * @param address name of the node
     * @return false if neither this node nor any connected node is connected to it
     */
    public boolean canReach(String address) {
        return mesh.find(address).isPresent() || findRelay(address).isPresent();
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (!(message instanceof RelayMessage relayed)) {
            return;
        }
        if (!relayed.to().equals(mesh.self())) {
            mesh.find(relayed.to()).ifPresent(next -> next.send(relayed));
            return;
        }
        try {
            registry.decode(relayed.payload())
                    .ifPresent(inner ->
                            listeners.forEach(listener -> listener.onMessage(new MeshNode(relayed.from()), inner)));
        } catch (MalformedFrameException e) {
            LOGGER.warn("event=relayed-message-unreadable from={} via={}", relayed.from(), node.address());
        }
    }

    private Optional<MeshNode> findRelay(String address) {
        return mesh.nodes().stream()
                .filter(node -> node.neighbours().contains(address))
                .findFirst();
    }
}
