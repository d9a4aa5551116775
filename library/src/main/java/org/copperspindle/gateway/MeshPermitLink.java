package org.copperspindle.gateway;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.wire.WireMessage;

/**
 * Reaches the keepers of limits among the connected nodes.
 */
final class MeshLink implements SendPermits.Link {

    private final NodeMesh mesh;

    MeshLink(NodeMesh mesh) {
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
