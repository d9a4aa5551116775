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
 * Passes announcements on to all nodes: changes at once, since an upstream that drains must get no new work after a short
 * while; repeated ones together a few times a second. A node that has just connected gets everything, so that nothing
 * stays lost that was said while the connection was down.
 */
public final class DirectoryGossip implements MeshListener {

    /**
     * Repeated announcements wait so long for others: half of the shortest interval in which upstreams announce themselves. Two
     * lost ones in a row and this wait are still shorter than the silence after which an upstream is left alone.
     */
    private static final long BATCH_NANOS = Duration.ofMillis(600).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final UpstreamDirectory directory;
    private final Map<String, UpstreamRecord> waiting = new LinkedHashMap<>();

    /**
     * Creates the gossip; to be subscribed to the mesh.
     *
     * @param mesh      the nodes
     * @param timers    time on the network thread
     * @param directory this node's directory
     */
    public DirectoryGossip(NodeMesh mesh, TimerService timers, UpstreamDirectory directory) {
        this.mesh = mesh;
        this.timers = timers;
        this.directory = directory;
    }

    /**
     * Takes an announcement that an upstream made here.
     *
     * @param news the announcement
     */
    public void onAnnouncement(UpstreamRecord news) {
        DirectoryChange change = directory.accept(news, timers.nanoTime());
        if (change == DirectoryChange.CHANGED) {
            mesh.broadcast(new UpstreamRecordsMessage(List.of(news)));
        } else if (change == DirectoryChange.REFRESHED) {
            later(news);
        }
    }

    /**
     * Takes note that an upstream has left.
     *
     * @param id          its id
     * @param incarnation the life that has ended; {@link UpstreamRecord#UNKNOWN_INCARNATION} for the one known here
     * @param reason      how this is known
     */
    public void onLeft(String id, long incarnation, String reason) {
        directory
                .leave(id, incarnation, reason, timers.nanoTime())
                .ifPresent(news -> mesh.broadcast(new UpstreamRecordsMessage(List.of(news))));
    }

    /**
     * Takes note that an upstream has said in an answer that it leaves.
     *
     * @param id its id
     */
    public void onLeaving(String id) {
        directory
                .leaving(id, timers.nanoTime())
                .ifPresent(news -> mesh.broadcast(new UpstreamRecordsMessage(List.of(news))));
    }

    @Override
    public void onNodeUp(MeshNode node) {
        List<UpstreamRecord> all = directory.all(timers.nanoTime());
        if (!all.isEmpty()) {
            node.send(new UpstreamRecordsMessage(all));
        }
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof UpstreamRecordsMessage received) {
            received.news().forEach(news -> directory.accept(news, timers.nanoTime()));
        }
    }

    private void later(UpstreamRecord news) {
        if (waiting.isEmpty()) {
            timers.schedule(BATCH_NANOS, this::flush);
        }
        waiting.put(news.id(), news);
    }

    private void flush() {
        long now = timers.nanoTime();
        directory.forgetSilent(now);
        mesh.broadcast(new UpstreamRecordsMessage(waiting.values().stream()
                .map(news -> news.withAge(directory.silenceMillis(news.id(), now)))
                .toList()));
        waiting.clear();
    }
}
