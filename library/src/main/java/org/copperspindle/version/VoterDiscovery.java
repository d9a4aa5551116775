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
 * founded once the set of these nodes has been stable for a while; later a node can only join. Nodes are discovered on
 * the network thread, the group asks on the decision ring.
 */
public final class VoterDiscovery implements VoterSource, MeshListener {

    /**
     * How long the set of nodes must be stable; three times the fraction of a second within which all processes of a
     * deployment start.
     */
    private static final Duration STABLE_TIME = Duration.ofMillis(1000);

    /** Time after which a group is founded with fewer nodes than required rather than not at all. */
    private static final Duration MAX_FOUNDING_DELAY = Duration.ofSeconds(6);

    /**
     * Time without a question after which this process must have stood still. The group asks every 0.4 s; other nodes
     * notice after 1.6 s that this one is silent, and may found the group without it.
     */
    private static final Duration MAX_QUESTION_GAP = Duration.ofSeconds(2);

    private final NodeMesh mesh;
    private final TimerService timers;
    private final boolean firstStart;
    private final int toleratedLosses;
    private long askedAt;
    private long awakeSince;
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
        this.askedAt = timers.nanoTime();
        this.awakeSince = askedAt;
        this.state = new State(List.of(), false, false, askedAt);
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
    public boolean isFirstStart() {
        return firstStart;
    }

    @Override
    public boolean mayBootstrap() {
        long now = timers.nanoTime();
        if (now - askedAt > MAX_QUESTION_GAP.toNanos()) {
            // What this process knows of the others is as old as the time for which it stood still.
            awakeSince = now;
        }
        askedAt = now;
        State known = state;
        long stableSince = known.changedAt() - awakeSince > 0 ? known.changedAt() : awakeSince;
        boolean isStable = now - stableSince > STABLE_TIME.toNanos();
        return !known.grouped() && isStable && isSufficient(known, now);
    }

    /**
     * Returns whether the known voters suffice. Fewer than required must still be more than can be lost: nodes that don't
     * reach each other could otherwise found two groups.
     */
    private boolean isSufficient(State known, long now) {
        int voters = known.voters().size();
        if (voters >= minVoters()) {
            return true;
        }
        boolean mayWaitForMore = now - awakeSince < MAX_FOUNDING_DELAY.toNanos();
        return !mayWaitForMore && (voters > toleratedLosses || known.complete());
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
        state = new State(voters, grouped, mesh.isComplete(), changedAt);
    }

    /**
     * What this node knows of the others.
     *
     * @param voters    nodes with a disk, including this one
     * @param grouped   whether one of them belongs to a group
     * @param complete  whether every node is connected that this one knows of
     * @param changedAt when the voters changed last, monotonic time in nanoseconds
     */
    private record State(List<VoterAddress> voters, boolean grouped, boolean complete, long changedAt) {}
}
