package org.copperspindle.mesh;

import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;

/**
 * Sends messages to nodes that this one does not reach through others that do. Members of the control group may be cut off
 * from each other while all other nodes reach them: without a way round, the two sides would choose different nodes for
 * work that only one may do at a time. A message goes through one other node at most.
 */
public final class MeshRelay implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(MeshRelay.class);

    private final NodeMesh mesh;
    private final MessageRegistry registry;
    private MeshListener listener = new MeshListener() {};

    /**
     * Creates the relay; to be subscribed to the mesh.
     *
     * @param mesh     the nodes
     * @param registry encodes what is sent
     */
    public MeshRelay(NodeMesh mesh, MessageRegistry registry) {
        this.mesh = mesh;
        this.registry = registry;
    }

    /**
     * Sets who takes messages that came through another node.
     *
     * @param taker told of them as if they had come directly
     */
    public void listener(MeshListener taker) {
        listener = taker;
    }

    /**
     * Returns the nodes that are reached directly.
     *
     * @return the mesh
     */
    public NodeMesh mesh() {
        return mesh;
    }

    /**
     * Sends a message, by itself or through another node.
     *
     * @param address name of the node that it is for
     * @param message the message
     * @return false if there is no way
     */
    public boolean send(String address, WireMessage message) {
        Optional<MeshNode> direct = mesh.find(address);
        if (direct.isPresent()) {
            return direct.get().send(message);
        }
        return between(address)
                .map(node -> node.send(new RelayMessage(mesh.self(), address, registry.encode(message))))
                .orElse(false);
    }

    /**
     * Says whether a node is up, as this one or another sees it.
     *
     * @param address name of the node
     * @return false if nobody who is connected here is connected with it
     */
    public boolean canReach(String address) {
        return mesh.find(address).isPresent() || between(address).isPresent();
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
                    .ifPresent(inner -> listener.onMessage(new MeshNode(relayed.from()), inner));
        } catch (MalformedFrameException e) {
            LOGGER.warn("event=relayed-message-unreadable from={} via={}", relayed.from(), node.address());
        }
    }

    private Optional<MeshNode> between(String address) {
        return mesh.nodes().stream()
                .filter(node -> node.neighbours().contains(address))
                .findFirst();
    }
}
