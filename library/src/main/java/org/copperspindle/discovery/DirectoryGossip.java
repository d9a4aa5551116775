package org.copperspindle.discovery;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Propagates upstream announcements to all nodes. Changes are sent immediately, because a draining upstream must stop
 * receiving work quickly. Repeated announcements are batched and sent a few times a second. A node that has just
 * connected receives the full directory, so that announcements lost while the connection was down are recovered.
 */
public final class DirectoryGossip implements MeshListener, DepartureListener {

    /**
     * How long repeated announcements are collected before they are sent: half of the shortest interval at which
     * upstreams announce themselves. Two lost announcements in a row plus this delay are still shorter than the
     * silence after which an upstream is no longer used.
     */
    private static final long BATCH_NANOS = Duration.ofMillis(600).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final UpstreamDirectory directory;
    private final Map<String, UpstreamRecord> pending = new LinkedHashMap<>();
    private final RecentChanges recentChanges = new RecentChanges();

    /**
     * Creates the gossip. The caller subscribes it to the mesh.
     *
     * @param mesh      the nodes
     * @param timers    timers of the network thread
     * @param directory this node's directory
     */
    public DirectoryGossip(NodeMesh mesh, TimerService timers, UpstreamDirectory directory) {
        this.mesh = mesh;
        this.timers = timers;
        this.directory = directory;
    }

    /**
     * Processes an announcement that an upstream sent to this node.
     *
     * @param announcement the announcement
     */
    public void onAnnouncement(UpstreamRecord announcement) {
        DirectoryChange change = directory.accept(announcement, timers.nanoTime());
        // An upstream may go on to announce that it is ready after it has said in a response that it leaves.
        UpstreamRecord present = directory.find(announcement.id()).orElse(announcement);
        if (change == DirectoryChange.CHANGED) {
            broadcast(present);
        } else if (change == DirectoryChange.REFRESHED) {
            enqueue(present);
        }
    }

    @Override
    public void onLeft(String id, long incarnation, String reason) {
        directory.markGone(id, incarnation, reason, timers.nanoTime()).ifPresent(this::broadcast);
    }

    /**
     * Records that an upstream announced in a response that it is leaving.
     *
     * @param id its id
     */
    public void onLeaving(String id) {
        directory.markLeaving(id, timers.nanoTime()).ifPresent(this::broadcast);
    }

    @Override
    public void onNodeUp(MeshNode node) {
        List<UpstreamRecord> all = directory.all(timers.nanoTime());
        if (!all.isEmpty()) {
            node.send(new UpstreamRecordsMessage(all));
        }
    }

    /** Sends recent changes again: what an upstream says once, such as that it leaves, is not repeated by later announcements. */
    @Override
    public void onConnectionLost(MeshNode node) {
        List<UpstreamRecord> recent = recentChanges.since(timers.nanoTime());
        if (!recent.isEmpty()) {
            node.send(new UpstreamRecordsMessage(recent));
        }
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof UpstreamRecordsMessage received) {
            List<UpstreamRecord> passedOn =
                    received.records().stream().filter(this::acceptForwarded).toList();
            forward(passedOn, node);
        }
    }

    /** Returns whether this node did not know that the pool runs the software, or that the upstream leaves. */
    private boolean acceptForwarded(UpstreamRecord announcement) {
        boolean known = directory
                .softwareLearnedAt(announcement.pool(), announcement.software())
                .isPresent();
        DirectoryChange change = directory.accept(announcement, timers.nanoTime());
        boolean leaves = announcement.phase() != UpstreamPhase.READY;
        return (!known || leaves) && change == DirectoryChange.CHANGED;
    }

    /**
     * Sends records to the nodes that their sender does not reach, beyond a partial partition. A node that knows one software
     * version of a pool concludes that all its streams began there, and one that does not know of a departure goes on
     * sending.
     */
    private void forward(List<UpstreamRecord> records, MeshNode sender) {
        if (records.isEmpty()) {
            return;
        }
        UpstreamRecordsMessage message = new UpstreamRecordsMessage(records);
        mesh.nodes().stream()
                .filter(node -> node != sender && !sender.neighbours().contains(node.address()))
                .forEach(node -> node.send(message));
    }

    private void broadcast(UpstreamRecord changed) {
        recentChanges.add(changed, timers.nanoTime());
        mesh.broadcastAtOnce(new UpstreamRecordsMessage(List.of(changed)));
    }

    private void enqueue(UpstreamRecord announcement) {
        if (pending.isEmpty()) {
            timers.schedule(BATCH_NANOS, this::flush);
        }
        pending.put(announcement.id(), announcement);
    }

    private void flush() {
        long now = timers.nanoTime();
        directory.removeSilent(now);
        mesh.broadcast(new UpstreamRecordsMessage(pending.values().stream()
                .flatMap(announcement -> directory.find(announcement.id()).stream())
                .map(present -> present.withAge(directory.silenceMillis(present.id(), now)))
                .toList()));
        pending.clear();
    }
}
