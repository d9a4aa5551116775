package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Tells all nodes which limits upstreams have named: the keeper of an upstream may not have heard of it itself.
 */
public final class LimitGossip implements MeshListener {

    /** Limits that change are told together this often, since an upstream may name another one in each answer. */
    private static final long BATCH_NANOS = Duration.ofMillis(50).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final UpstreamLimits limits;
    private final SendPermits permits;
    private final Set<String> changed = new LinkedHashSet<>();
    private final DeferredTask flush;

    /**
     * Creates the gossip; to be subscribed to the mesh.
     *
     * @param mesh    the nodes
     * @param timers  time on the network thread
     * @param limits  the limits as this node knows them
     * @param permits gives out permits
     */
    public LimitGossip(NodeMesh mesh, TimerService timers, UpstreamLimits limits, SendPermits permits) {
        this.mesh = mesh;
        this.timers = timers;
        this.limits = limits;
        this.permits = permits;
        this.flush = new DeferredTask(timers, this::flush);
        limits.subscribe(this::changed);
    }

    @Override
    public void onNodeUp(MeshNode node) {
        List<LimitRecord> all = limits.all(timers.nanoTime());
        if (!all.isEmpty()) {
            node.send(new LimitRecordsMessage(all));
        }
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof LimitRecordsMessage told) {
            told.news().forEach(news -> limits.told(news, timers.nanoTime()));
        } else {
            permits.onMessage(node.address(), message);
        }
    }

    private void changed(String upstream) {
        changed.add(upstream);
        flush.schedule(BATCH_NANOS);
    }

    private void flush() {
        long now = timers.nanoTime();
        List<LimitRecord> news = changed.stream()
                .flatMap(upstream -> limits.news(upstream, now).stream())
                .toList();
        changed.clear();
        if (!news.isEmpty()) {
            mesh.broadcast(new LimitRecordsMessage(news));
        }
    }
}
