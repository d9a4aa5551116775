package org.copperspindle.version;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Carries versions and leases between the nodes: a leader pushes what was accepted and answers questions, every node
 * asks whom it takes for the leader. Runs on the network thread.
 */
public final class VersionExchange implements MeshListener {

    /** A large text takes a while over a slow link; before that it is not sent again. */
    private static final long RESEND_NANOS = Duration.ofMillis(1500).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final Executor network;
    private final Map<String, Sent> sent = new HashMap<>();
    private VersionHolder holder;
    private Optional<VersionMember> member = Optional.empty();
    private MemberStatus status = MemberStatus.NONE;
    private Optional<String> asked = Optional.empty();

    /**
     * Creates the exchange; to be subscribed to the mesh.
     *
     * @param mesh    the nodes
     * @param timers  time on the network thread
     * @param network runs tasks on the network thread
     */
    public VersionExchange(NodeMesh mesh, TimerService timers, Executor network) {
        this.mesh = mesh;
        this.timers = timers;
        this.network = network;
    }

    /**
     * Sets what this node serves by.
     *
     * @param own the holder, which asks through {@link #requestLease}
     */
    public void holder(VersionHolder own) {
        holder = own;
    }

    /**
     * Sets this node's member of the control group.
     *
     * @param own the member
     */
    public void member(VersionMember own) {
        member = Optional.of(own);
    }

    /**
     * Takes note of what this node's member knows.
     *
     * @param newest its status
     */
    public void status(MemberStatus newest) {
        status = newest;
        mesh.announce();
        if (!newest.leader().isEmpty()) {
            holder.requestLease();
        }
    }

    /**
     * Returns what this node's member knows.
     *
     * @return its status; that of no member if this node has none
     */
    public MemberStatus status() {
        return status;
    }

    /**
     * Returns this node's member.
     *
     * @return empty if this node has no disk
     */
    public Optional<VersionMember> member() {
        return member;
    }

    /**
     * Finds the leader of the highest term that any node tells of.
     *
     * @return name of its node
     */
    public Optional<String> leader() {
        long term = status.term();
        String leader = status.leader();
        for (MeshNode node : mesh.nodes()) {
            if (node.hello().term() > term && !node.hello().leader().isEmpty()) {
                term = node.hello().term();
                leader = node.hello().leader();
            }
        }
        return leader.isEmpty() ? Optional.empty() : Optional.of(leader);
    }

    /**
     * Finds where operators reach the leader.
     *
     * @return IP:PORT, empty if this node leads, or no leader is connected
     */
    public Optional<String> leaderControl() {
        return leader().flatMap(mesh::find).map(node -> node.hello().control());
    }

    /**
     * Sends a question to the leader.
     *
     * @param question the question
     */
    public void requestLease(VersionLeaseRequestMessage question) {
        Optional<String> leader = leader();
        if (leader.isEmpty()) {
            return;
        }
        if (leader.get().equals(mesh.self())) {
            member.ifPresent(own ->
                    own.askNewest(newest -> network.execute(() -> answerSelf(question.sequence(), newest))));
        } else {
            mesh.find(leader.get()).ifPresent(node -> node.send(question));
        }
    }

    /**
     * Takes a version that this node's member has recorded.
     *
     * @param edition the version
     */
    public void recorded(VersionMessage edition) {
        holder.receive(edition);
        if (status.leads()) {
            mesh.nodes().forEach(node -> push(node, node.hello().version(), edition));
        }
    }

    /**
     * Takes the evacuated failure domains that this node's member has recorded.
     *
     * @param evacuations all of them
     */
    public void recorded(EvacuationsMessage evacuations) {
        holder.receive(evacuations);
        if (status.leads()) {
            mesh.broadcast(evacuations);
        }
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof VersionLeaseRequestMessage question) {
            member.ifPresent(own ->
                    own.askNewest(newest -> network.execute(() -> answer(node.address(), question, newest))));
        } else if (message instanceof VersionLeaseResponseMessage answer) {
            holder.receive(answer);
        } else if (message instanceof VersionMessage edition) {
            holder.receive(edition);
        } else if (message instanceof EvacuationsMessage evacuations) {
            holder.receive(evacuations);
        }
    }

    /** A node that has been told of another leader asks that one at once: after a loss of all, callers wait for its lease. */
    @Override
    public void onHello(MeshNode node) {
        Optional<String> leader = leader();
        if (leader.isPresent()
                && !leader.equals(asked)
                && mesh.find(leader.get()).isPresent()) {
            asked = leader;
            holder.requestLease();
        }
    }

    @Override
    public void onNodeDown(MeshNode node) {
        sent.remove(node.address());
    }

    private void answerSelf(long sequence, VersionSnapshotMessage newest) {
        newest.newestVersion().ifPresent(holder::receive);
        holder.receive(newest.evacuations());
        holder.receive(lease(sequence, newest));
    }

    private void answer(String address, VersionLeaseRequestMessage question, VersionSnapshotMessage newest) {
        Optional<MeshNode> node = mesh.find(address);
        if (node.isEmpty()) {
            return;
        }
        // What the node lacks goes first: with it the node can use the lease that follows.
        newest.newestVersion().ifPresent(edition -> push(node.get(), question.held(), edition));
        if (newest.evacuations().revision() > question.revision()) {
            node.get().send(newest.evacuations());
        }
        node.get().send(lease(question.sequence(), newest));
    }

    private static VersionLeaseResponseMessage lease(long sequence, VersionSnapshotMessage newest) {
        return new VersionLeaseResponseMessage(
                sequence, newest.version(), newest.evacuations().revision());
    }

    private void push(MeshNode node, long held, VersionMessage edition) {
        long now = timers.nanoTime();
        Sent last = sent.get(node.address());
        boolean underWay = last != null && last.version() >= edition.version() && now - last.at() < RESEND_NANOS;
        if (held >= edition.version() || underWay) {
            return;
        }
        sent.put(node.address(), new Sent(edition.version(), now));
        node.send(edition);
    }

    private record Sent(long version, long at) {}
}
