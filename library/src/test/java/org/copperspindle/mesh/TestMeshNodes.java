package org.copperspindle.mesh;

/**
 * Creates mesh nodes for tests in other packages.
 */
public final class TestMeshNodes {

    private TestMeshNodes() {}

    /**
     * Returns a node without connections.
     *
     * @param address its address
     * @return the node
     */
    public static MeshNode node(String address) {
        return new MeshNode(address);
    }
}
