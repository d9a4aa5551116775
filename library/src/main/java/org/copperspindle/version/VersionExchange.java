package org.copperspindle.version;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Exchanges configuration versions and leases between the nodes. A leader pushes accepted versions and responds to
 * lease requests; every node sends its requests to the node that it considers the leader. Must be used on the network
 * thread.
 */
public final class VersionExchange implements MeshListener {

    /** Time before a version is sent again to a node: a large text takes a while over a slow link. */
    private static final long RESEND_NANOS = Duration.ofMillis(1500).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final Executor network;
    private final Map<String, SentVersion> sent = new HashMap<>();
    private final Set<String> softwareReaders = new HashSet<>();
    private VersionHolder holder;
    private Optional<VersionMember> member = Optional.empty();
    private MemberStatus status = MemberStatus.NONE;
    private Optional<String> lastAskedLeader = Optional.empty();

    /**
     * Creates the exchange. The caller subscribes it to the mesh.
     *
     * @param mesh    the nodes
     * @param timers  timers of the network thread
     * @param network runs tasks on the network thread
     */
    public VersionExchange(NodeMesh mesh, TimerService timers, Executor network) {
        this.mesh = mesh;
        this.timers = timers;
        this.network = network;
    }

    /**
     * Sets the holder of the version that this node serves by.
     *
     * @param own the holder, which sends its requests through {@link #requestLease}
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
     * Updates the status of this node's member.
     *
     * @param newest its new status
     */
    public void status(MemberStatus newest) {
        status = newest;
        mesh.announce();
        if (!newest.leader().isEmpty()) {
            holder.requestLease();
        }
    }

    /**
     * Returns the status of this node's member.
     *
     * @return its status; {@link MemberStatus#NONE} if this node has no member
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
     * Returns the leader of the highest term that any node reports.
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
     * Returns the address at which operators reach the leader.
     *
     * @return IP:PORT, empty if this node leads, or no leader is connected
     */
    public Optional<String> leaderControl() {
        return leader().flatMap(mesh::find).map(node -> node.hello().control());
    }

    /**
     * Sends a lease request to the leader.
     *
     * @param request the request
     */
    public void requestLease(VersionLeaseRequestMessage request) {
        Optional<String> leader = leader();
        if (leader.isEmpty()) {
            return;
        }
        if (leader.get().equals(mesh.self())) {
            member.ifPresent(own ->
                    own.readIfLeading(newest -> network.execute(() -> respondToSelf(request.sequence(), newest))));
        } else {
            mesh.find(leader.get()).ifPresent(node -> node.send(request));
        }
    }

    /**
     * Processes a version that this node's member has recorded.
     *
     * @param newVersion the version
     */
    public void onRecorded(VersionMessage newVersion) {
        holder.receive(newVersion);
        if (status.leads()) {
            mesh.nodes().forEach(node -> push(node, node.hello().version(), newVersion));
        }
    }

    /**
     * Processes the evacuated failure domains that this node's member has recorded.
     *
     * @param evacuations all evacuated failure domains
     */
    public void onRecorded(EvacuationsMessage evacuations) {
        holder.receive(evacuations);
        if (status.leads()) {
            mesh.broadcast(evacuations);
        }
    }

    /**
     * Processes the software versions in use that this node's member has recorded.
     *
     * @param software all versions in use
     */
    public void onRecorded(SoftwareInUseMessage software) {
        holder.receive(software);
        if (status.leads()) {
            mesh.broadcast(software);
        }
    }

    /**
     * Returns whether all members of the control group can apply changes of the software versions in use, as far as this
     * node knows.
     *
     * @return false while a connected node with a disk has not shown by a lease request that its build can
     */
    public boolean isSoftwareReadable() {
        return mesh.nodes().stream()
                .filter(node -> node.hello().durable())
                .allMatch(node -> softwareReaders.contains(node.address()));
    }

    /**
     * Records a change of the software versions in use if this node's member is the leader.
     *
     * @param change   the change
     * @param callback receives the result on the network thread
     */
    public void changeSoftware(SoftwareCommand change, Consumer<VersionResult> callback) {
        if (member.isPresent() && status.leads()) {
            member.get().changeSoftware(change, result -> network.execute(() -> callback.accept(result)));
        } else {
            callback.accept(new VersionResult.NotLeading());
        }
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof VersionLeaseRequestMessage request) {
            if (request.readsSoftware()) {
                softwareReaders.add(node.address());
            }
            member.ifPresent(own ->
                    own.readIfLeading(newest -> network.execute(() -> respond(node.address(), request, newest))));
        } else if (message instanceof VersionLeaseResponseMessage respond) {
            holder.receive(respond);
        } else if (message instanceof VersionMessage newVersion) {
            holder.receive(newVersion);
        } else if (message instanceof EvacuationsMessage evacuations) {
            holder.receive(evacuations);
        } else if (message instanceof SoftwareInUseMessage software) {
            holder.receive(software);
        }
    }

    /** Requests a lease as soon as a new leader is known: after the loss of all nodes, callers wait for this lease. */
    @Override
    public void onHello(MeshNode node) {
        Optional<String> leader = leader();
        if (leader.isPresent()
                && !leader.equals(lastAskedLeader)
                && mesh.find(leader.get()).isPresent()) {
            lastAskedLeader = leader;
            holder.requestLease();
        }
    }

    @Override
    public void onNodeDown(MeshNode node) {
        sent.remove(node.address());
        softwareReaders.remove(node.address());
    }

    private void respondToSelf(long sequence, VersionSnapshotMessage newest) {
        newest.newestVersion().ifPresent(holder::receive);
        holder.receive(newest.evacuations());
        holder.receive(newest.software());
        holder.receive(lease(sequence, newest));
    }

    private void respond(String address, VersionLeaseRequestMessage request, VersionSnapshotMessage newest) {
        Optional<MeshNode> node = mesh.find(address);
        if (node.isEmpty()) {
            return;
        }
        // Missing data is sent first, so that the node can use the lease that follows.
        newest.newestVersion().ifPresent(newVersion -> push(node.get(), request.held(), newVersion));
        if (newest.evacuations().revision() > request.revision()) {
            node.get().send(newest.evacuations());
        }
        if (request.readsSoftware() && newest.software().revision() > request.software()) {
            node.get().send(newest.software());
        }
        node.get().send(lease(request.sequence(), newest));
    }

    private static VersionLeaseResponseMessage lease(long sequence, VersionSnapshotMessage newest) {
        return new VersionLeaseResponseMessage(
                sequence,
                newest.version(),
                newest.evacuations().revision(),
                newest.software().revision());
    }

    private void push(MeshNode node, long held, VersionMessage newVersion) {
        long now = timers.nanoTime();
        SentVersion lastSent = sent.get(node.address());
        boolean isInFlight =
                lastSent != null && lastSent.version() >= newVersion.version() && now - lastSent.at() < RESEND_NANOS;
        if (held >= newVersion.version() || isInFlight) {
            return;
        }
        sent.put(node.address(), new SentVersion(newVersion.version(), now));
        node.send(newVersion);
    }

    private record SentVersion(long version, long at) {}
}
