package org.copperspindle.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.routing.RendezvousScore;

/**
 * Chooses the dispatchers of pools by rendezvous hashing among the serving nodes with the highest fitness. Nodes that
 * can be reached only through others count as well, so that all nodes choose the same one.
 */
final class DispatcherChooser {

    /**
     * How long a lost node is remembered: a network partition lasts for some seconds, and a node that is lost for
     * longer does not return with the same state.
     */
    private static final long LOST_NODE_RETENTION_NANOS = Duration.ofSeconds(20).toNanos();

    private final NodeMesh mesh;
    private final MeshRelay relay;
    private final DispatcherStatus status;
    private final Map<String, LostNode> lostNodes = new HashMap<>();

    DispatcherChooser(MeshRelay relay, DispatcherStatus status) {
        this.mesh = relay.mesh();
        this.relay = relay;
        this.status = status;
    }

    /** Returns the name of the node that dispatches a pool. */
    String dispatcherNode(String pool) {
        String best = mesh.self();
        int fitness = status.isServing() ? status.fitness() : Integer.MIN_VALUE;
        long score = RendezvousScore.of(pool, best);
        for (MeshNode node : mesh.nodes()) {
            if (isBetter(pool, node.address(), node.hello(), fitness, score)) {
                best = node.address();
                fitness = node.hello().fitness();
                score = RendezvousScore.of(pool, best);
            }
        }
        for (Map.Entry<String, LostNode> lost : lostNodes.entrySet()) {
            NodeHelloMessage hello = lost.getValue().hello();
            if (isBetter(pool, lost.getKey(), hello, fitness, score) && relay.canReach(lost.getKey())) {
                best = lost.getKey();
                fitness = hello.fitness();
                score = RendezvousScore.of(pool, best);
            }
        }
        return best;
    }

    void onNodeUp(MeshNode node) {
        lostNodes.remove(node.address());
    }

    void onNodeDown(MeshNode node, long now) {
        lostNodes.put(node.address(), new LostNode(node.hello(), now));
    }

    boolean hasLostNodes() {
        return !lostNodes.isEmpty();
    }

    void removeExpired(long now) {
        lostNodes.values().removeIf(lost -> now - lost.lostAt() > LOST_NODE_RETENTION_NANOS);
    }

    /** Returns the recently lost nodes that can be reached through others. */
    List<String> lostButReachable() {
        return lostNodes.keySet().stream().filter(relay::canReach).toList();
    }

    private static boolean isBetter(String pool, String node, NodeHelloMessage hello, int fitness, long score) {
        int candidateFitness = hello.fitness();
        return hello.serving()
                && (candidateFitness > fitness
                        || candidateFitness == fitness && RendezvousScore.of(pool, node) > score);
    }

    /** A recently lost node and the last greeting received from it. */
    private record LostNode(NodeHelloMessage hello, long lostAt) {}
}
