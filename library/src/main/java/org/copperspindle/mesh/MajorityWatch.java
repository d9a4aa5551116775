package org.copperspindle.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

import org.copperspindle.time.TimerService;

/**
 * Watches whether this node reaches more than half of the nodes that may run. Of two sides of a partition at most one
 * has such a majority, and what a node of it knows of the fleet is known to the whole side. Nodes that have ended don't
 * count; nodes that have fallen silent may run behind the partition.
 */
public final class MajorityWatch implements MeshListener {

    /** How long a silent node counts; after that it is not expected to return. */
    private static final long SILENT_RETENTION_NANOS = Duration.ofSeconds(60).toNanos();

    /** Time after its start in which a node learns what the others know. */
    private static final long EXCHANGE_NANOS = Duration.ofSeconds(2).toNanos();

    private final IntSupplier connected;
    private final TimerService timers;
    private long startedAt;
    private final Map<String, Long> silentSince = new HashMap<>();
    private OptionalLong lostAt = OptionalLong.empty();

    /**
     * Creates a watch. The caller subscribes it to the mesh.
     *
     * @param connected supplies the number of other nodes that are connected
     * @param timers    timers of the network thread
     */
    public MajorityWatch(IntSupplier connected, TimerService timers) {
        this.connected = connected;
        this.timers = timers;
        this.startedAt = timers.nanoTime();
    }

    /** Begins to learn what the others know; called when this node starts to connect to them. */
    public void start() {
        startedAt = timers.nanoTime();
    }

    /**
     * Returns since when this node has not reached a majority.
     *
     * @return monotonic time in nanoseconds; empty while it does
     */
    public OptionalLong lostAt() {
        update();
        return lostAt;
    }

    /**
     * Returns whether this node reaches a majority and has learned what the others know.
     *
     * @return true if what it does not know of is not in use elsewhere
     */
    public boolean isInformed() {
        return lostAt().isEmpty() && exchangeNanosLeft() == 0;
    }

    /**
     * Returns how long this node still learns what the others know, after its start.
     *
     * @return nanoseconds, 0 once it has learned that
     */
    public long exchangeNanosLeft() {
        return Math.max(0, startedAt + EXCHANGE_NANOS - timers.nanoTime());
    }

    /**
     * Returns how long this node has been up.
     *
     * @return nanoseconds
     */
    public long uptimeNanos() {
        return timers.nanoTime() - startedAt;
    }

    @Override
    public void onNodeUp(MeshNode node) {
        silentSince.remove(node.address());
        update();
    }

    @Override
    public void onNodeDown(MeshNode node) {
        if (node.isSilent()) {
            silentSince.put(node.address(), timers.nanoTime());
        }
        update();
    }

    private void update() {
        long now = timers.nanoTime();
        silentSince.values().removeIf(since -> now - since > SILENT_RETENTION_NANOS);
        int reached = 1 + connected.getAsInt();
        boolean majority = reached > silentSince.size();
        if (majority) {
            lostAt = OptionalLong.empty();
        } else if (lostAt.isEmpty()) {
            // The nodes had been silent for that long when their connections were closed.
            lostAt = OptionalLong.of(now - MeshSettings.LIMITS.silence().toNanos());
        }
    }
}
