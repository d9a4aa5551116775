package org.copperspindle.version;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.TreeSet;

import org.copperspindle.consensus.VoterAddress;
import org.copperspindle.consensus.VoterSource;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.NumericAddress;

/**
 * Takes every node with a disk for a voter, as they come and go. At the very first start the group is founded once the
 * set of them has stood still for a while; later a node can only join. Written on the network thread, read on the ring.
 */
public final class VoterDiscovery implements VoterSource, MeshListener {

    /** All processes of a deployment start within a fraction of a second of each other; three times that. */
    private static final Duration SETTLED = Duration.ofMillis(1000);

    /** After this a group is founded with fewer nodes than it should have rather than not at all. */
    private static final Duration PATIENCE = Duration.ofSeconds(6);

    private final NodeMesh mesh;
    private final TimerService timers;
    private final boolean firstStart;
    private final int tolerated;
    private final long startedAt;
    private volatile State state;

    /**
     * Creates a roster with this node alone.
     *
     * @param mesh       the nodes; this node has a disk
     * @param timers     time on the network thread
     * @param firstStart true only when the whole deployment starts for the first time
     * @param tolerated  nodes with a disk whose loss at once must be borne
     */
    public VoterDiscovery(NodeMesh mesh, TimerService timers, boolean firstStart, int tolerated) {
        this.mesh = mesh;
        this.timers = timers;
        this.firstStart = firstStart;
        this.tolerated = tolerated;
        this.startedAt = timers.nanoTime();
        this.state = new State(List.of(), false, startedAt);
        refresh();
    }

    /**
     * Returns where a node's member of the group listens.
     *
     * @param node the node's address
     * @return the port after the node's
     */
    public static InetSocketAddress memberAddress(InetSocketAddress node) {
        return new InetSocketAddress(node.getAddress(), node.getPort() + 1);
    }

    @Override
    public void onNodeUp(MeshNode node) {
        refresh();
    }

    @Override
    public void onNodeDown(MeshNode node) {
        refresh();
    }

    @Override
    public void onHello(MeshNode node) {
        refresh();
    }

    @Override
    public List<VoterAddress> voters() {
        return state.voters();
    }

    @Override
    public boolean mayBootstrap() {
        State now = state;
        if (!firstStart || now.grouped()) {
            return false;
        }
        boolean settled = timers.nanoTime() - now.changedAt() > SETTLED.toNanos();
        boolean patient = timers.nanoTime() - startedAt < PATIENCE.toNanos();
        return settled && (now.voters().size() >= minVoters() || !patient);
    }

    @Override
    public boolean isDynamic() {
        return true;
    }

    @Override
    public int minVoters() {
        return 2 * tolerated + 1;
    }

    private void refresh() {
        TreeSet<String> names = new TreeSet<>();
        names.add(mesh.self());
        boolean grouped = false;
        for (MeshNode node : mesh.nodes()) {
            if (node.hello().durable()) {
                names.add(node.address());
                grouped |= node.hello().grouped();
            }
        }
        List<VoterAddress> voters = names.stream()
                .map(name -> new VoterAddress(name, memberAddress(NumericAddress.parse(name))))
                .toList();
        State before = state;
        long changedAt = voters.equals(before.voters()) ? before.changedAt() : timers.nanoTime();
        state = new State(voters, grouped, changedAt);
    }

    private record State(List<VoterAddress> voters, boolean grouped, long changedAt) {}
}
