package org.copperspindle.batch;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.routing.RendezvousScore;
import org.copperspindle.standby.DispatcherChoice;

/**
 * Chooses the dispatchers of pools by rendezvous hashing among the serving nodes with the highest fitness. Nodes that
 * can be reached only through others count as well, so that all nodes choose the same one.
 */
final class DispatcherChooser implements DispatcherChoice {

    /**
     * How long a lost node is remembered: a network partition lasts for some seconds, and a node that is lost for
     * longer does not return with the same state.
     */
    private static final long LOST_NODE_RETENTION_NANOS = Duration.ofSeconds(20).toNanos();

    private static final Comparator<Candidate> ORDER = Comparator.comparingInt(Candidate::fitness)
            .thenComparing(Candidate::isElsewhere)
            .thenComparingLong(Candidate::score);

    private final NodeMesh mesh;
    private final MeshRelay relay;
    private final DispatcherStatus status;
    private final Map<String, LostNode> lostNodes = new HashMap<>();

    DispatcherChooser(MeshRelay relay, DispatcherStatus status) {
        this.mesh = relay.mesh();
        this.relay = relay;
        this.status = status;
    }

    @Override
    public String dispatcherNode(String pool) {
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

    /**
     * Returns the fittest serving node other than the dispatcher. Among nodes of equal fitness those in another failure
     * domain go first: the failure of a domain should not take both.
     */
    @Override
    public Optional<String> standbyNode(String pool) {
        String dispatcher = dispatcherNode(pool);
        NodeHelloMessage own = mesh.ownHello();
        Map<String, NodeHelloMessage> candidates = new HashMap<>();
        lostNodes.forEach((node, lost) -> {
            if (relay.canReach(node)) {
                candidates.put(node, lost.hello());
            }
        });
        mesh.nodes().forEach(node -> candidates.put(node.address(), node.hello()));
        String domain = dispatcher.equals(mesh.self())
                ? own.failureDomain()
                : candidates.get(dispatcher).failureDomain();
        candidates.remove(dispatcher);
        Optional<Candidate> best = status.isServing() && !dispatcher.equals(mesh.self())
                ? Optional.of(Candidate.of(pool, mesh.self(), own.failureDomain(), status.fitness(), domain))
                : Optional.empty();
        for (Map.Entry<String, NodeHelloMessage> each : candidates.entrySet()) {
            NodeHelloMessage hello = each.getValue();
            if (hello.serving()
                    && best.filter(b -> b.fitness() > hello.fitness()).isEmpty()) {
                Candidate next = Candidate.of(pool, each.getKey(), hello.failureDomain(), hello.fitness(), domain);
                best = best.filter(b -> !next.isBetterThan(b)).or(() -> Optional.of(next));
            }
        }
        return best.map(Candidate::node);
    }

    @Override
    public OptionalLong incarnation(String node) {
        Optional<MeshNode> connected = mesh.find(node);
        if (connected.isPresent()) {
            return OptionalLong.of(connected.get().incarnation());
        }
        LostNode lost = lostNodes.get(node);
        return lost == null ? OptionalLong.empty() : OptionalLong.of(lost.incarnation());
    }

    @Override
    public boolean canReach(String node) {
        return relay.canReach(node);
    }

    void onNodeUp(MeshNode node) {
        lostNodes.remove(node.address());
    }

    void onNodeDown(MeshNode node, long now) {
        lostNodes.put(node.address(), new LostNode(node.hello(), node.incarnation(), now));
    }

    boolean hasLostNodes() {
        return !lostNodes.isEmpty();
    }

    void removeExpired(long now) {
        lostNodes.values().removeIf(lost -> now - lost.lostAt() > LOST_NODE_RETENTION_NANOS);
    }

    @Override
    public List<String> lostButReachable() {
        return lostNodes.keySet().stream().filter(relay::canReach).toList();
    }

    private static boolean isBetter(String pool, String node, NodeHelloMessage hello, int fitness, long score) {
        int candidateFitness = hello.fitness();
        return hello.serving()
                && (candidateFitness > fitness
                        || candidateFitness == fitness && RendezvousScore.of(pool, node) > score);
    }

    /** A recently lost node and the last greeting received from it. */
    private record LostNode(NodeHelloMessage hello, long incarnation, long lostAt) {}

    /** A candidate for the standby of a pool. */
    private record Candidate(String node, int fitness, boolean isElsewhere, long score) {
        private static Candidate of(String pool, String node, String domain, int fitness, String dispatcherDomain) {
            return new Candidate(node, fitness, !domain.equals(dispatcherDomain), RendezvousScore.of(pool, node));
        }

        private boolean isBetterThan(Candidate other) {
            return ORDER.compare(this, other) > 0;
        }
    }
}
