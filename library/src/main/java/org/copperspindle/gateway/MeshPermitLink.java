package org.copperspindle.gateway;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.wire.WireMessage;

/**
 * Sends messages to the owners of limits over the connections between nodes.
 */
final class MeshPermitLink implements SendPermits.Link {

    private final NodeMesh mesh;

    MeshPermitLink(NodeMesh mesh) {
        this.mesh = mesh;
    }

    @Override
    public String self() {
        return mesh.self();
    }

    @Override
    public boolean send(String node, WireMessage message) {
        return mesh.find(node).filter(to -> to.send(message)).isPresent();
    }
}
