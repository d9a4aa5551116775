package org.copperspindle.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.copperspindle.time.TimerService;

/**
 * Tells a node that is cut off from the others from one that has lost some of them. Both see connections end; the one that
 * is cut off loses nearly all at once, and must not take over what the others go on with.
 */
public final class IsolationDetector implements MeshListener {

    /**
     * A node that sees less than this part of the nodes of the last seconds is cut off. Six in ten may be killed at once,
     * and the rest must go on.
     */
    private static final double LEAST_PART = 1.0 / 3;

    /** Nodes that are gone for longer don't count: they are not coming back, or not soon. */
    private static final long RECENT_NANOS = Duration.ofSeconds(8).toNanos();

    private final IntSupplier connected;
    private final TimerService timers;
    private final Map<String, Long> lost = new HashMap<>();

    /**
     * Creates a watch; to be subscribed to the mesh.
     *
     * @param connected how many other nodes are connected
     * @param timers    time on the network thread
     */
    public IsolationDetector(IntSupplier connected, TimerService timers) {
        this.connected = connected;
        this.timers = timers;
    }

    /**
     * Says whether this node is cut off.
     *
     * @return false for a node that has never known others
     */
    public boolean isIsolated() {
        long now = timers.nanoTime();
        lost.values().removeIf(at -> now - at > RECENT_NANOS);
        int seen = 1 + connected.getAsInt();
        return seen < LEAST_PART * (seen + lost.size());
    }

    @Override
    public void onNodeUp(MeshNode node) {
        lost.remove(node.address());
    }

    @Override
    public void onNodeDown(MeshNode node) {
        lost.put(node.address(), timers.nanoTime());
    }
}
