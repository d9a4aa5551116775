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
 * Spreads the limits that upstreams announce to all nodes: the owner of a limit may not have received the
 * announcement itself.
 */
public final class LimitGossip implements MeshListener {

    /**
     * Interval in which changed limits are sent together, since an upstream may announce a new one in each response.
     */
    private static final long BATCH_NANOS = Duration.ofMillis(50).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final UpstreamLimits limits;
    private final SendPermits permits;
    private final Set<String> changed = new LinkedHashSet<>();
    private final DeferredTask flush;

    /**
     * Creates the gossip. The caller subscribes it to the mesh.
     *
     * @param mesh    the nodes
     * @param timers  timers of the network thread
     * @param limits  the limits known to this node
     * @param permits handles the permit messages
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
        if (message instanceof LimitRecordsMessage records) {
            records.records().forEach(limitRecord -> limits.onRecord(limitRecord, timers.nanoTime()));
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
        List<LimitRecord> records = changed.stream()
                .flatMap(upstream -> limits.findRecord(upstream, now).stream())
                .toList();
        changed.clear();
        if (!records.isEmpty()) {
            mesh.broadcast(new LimitRecordsMessage(records));
        }
    }
}
