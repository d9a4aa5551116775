package org.copperspindle.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.copperspindle.time.TimerService;

/**
 * Distinguishes an isolated node from one that has lost some other nodes. Both see connections end; an isolated node
 * loses nearly all of them at once and must not take over work that the others continue.
 */
public final class IsolationDetector implements MeshListener {

    /**
     * Minimum share of the recently connected nodes, including itself, that a node must see to count as connected. Up
     * to six in ten nodes may be killed at once, and the rest must continue.
     */
    private static final double MIN_VISIBLE_SHARE = 1.0 / 3;

    /** How long a lost node counts; after that it is not expected to return soon. */
    private static final long LOSS_RETENTION_NANOS = Duration.ofSeconds(8).toNanos();

    private final IntSupplier connected;
    private final TimerService timers;
    private final Map<String, Long> lostAt = new HashMap<>();

    /**
     * Creates a detector. The caller subscribes it to the mesh.
     *
     * @param connected supplies the number of other nodes that are connected
     * @param timers    timers of the network thread
     */
    public IsolationDetector(IntSupplier connected, TimerService timers) {
        this.connected = connected;
        this.timers = timers;
    }

    /**
     * Returns whether this node is isolated.
     *
     * @return true if it is isolated; false for a node that has never known others
     */
    public boolean isIsolated() {
        long now = timers.nanoTime();
        lostAt.values().removeIf(at -> now - at > LOSS_RETENTION_NANOS);
        int visible = 1 + connected.getAsInt();
        return visible < MIN_VISIBLE_SHARE * (visible + lostAt.size());
    }

    @Override
    public void onNodeUp(MeshNode node) {
        lostAt.remove(node.address());
    }

    @Override
    public void onNodeDown(MeshNode node) {
        lostAt.put(node.address(), timers.nanoTime());
    }
}
