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
 * Discovers the voters of the control group: every connected node with a disk. At the very first start the group is
 * founded once the set of these nodes has been stable for a while; later a node can only join. Written on the network
 * thread, read on the decision ring.
 */
public final class VoterDiscovery implements VoterSource, MeshListener {

    /**
     * How long the set of nodes must be stable; three times the fraction of a second within which all processes of a
     * deployment start.
     */
    private static final Duration STABLE_TIME = Duration.ofMillis(1000);

    /** Time after which a group is founded with fewer nodes than required rather than not at all. */
    private static final Duration MAX_FOUNDING_DELAY = Duration.ofSeconds(6);

    private final NodeMesh mesh;
    private final TimerService timers;
    private final boolean firstStart;
    private final int toleratedLosses;
    private final long startedAt;
    private volatile State state;

    /**
     * Creates a discovery that knows only this node.
     *
     * @param mesh            the nodes; this node has a disk
     * @param timers          timers of the network thread
     * @param firstStart      true only when the whole deployment starts for the first time
     * @param toleratedLosses number of nodes with a disk whose simultaneous loss must be tolerated
     */
    public VoterDiscovery(NodeMesh mesh, TimerService timers, boolean firstStart, int toleratedLosses) {
        this.mesh = mesh;
        this.timers = timers;
        this.firstStart = firstStart;
        this.toleratedLosses = toleratedLosses;
        this.startedAt = timers.nanoTime();
        this.state = new State(List.of(), false, startedAt);
        refresh();
    }

    /**
     * Returns the address at which a node's member of the group listens.
     *
     * @param node the node's address
     * @return the node's address with the next higher port
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
        boolean isStable = timers.nanoTime() - now.changedAt() > STABLE_TIME.toNanos();
        boolean mayWaitForMore = timers.nanoTime() - startedAt < MAX_FOUNDING_DELAY.toNanos();
        return isStable && (now.voters().size() >= minVoters() || !mayWaitForMore);
    }

    @Override
    public boolean isDynamic() {
        return true;
    }

    @Override
    public int minVoters() {
        return 2 * toleratedLosses + 1;
    }

    private void refresh() {
        TreeSet<String> names = new TreeSet<>();
        names.add(mesh.self());
        boolean grouped = false;
        for (MeshNode node : mesh.nodes()) {
            if (node.hello().durable()) {
                names.add(node.address());
                grouped |= node.hello().inControlGroup();
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
