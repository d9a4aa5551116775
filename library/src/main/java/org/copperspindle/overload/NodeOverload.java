package org.copperspindle.overload;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.wire.WireMessage;

/**
 * Knows whether this node and the others are overloaded. A message is sent only when that changes. Must be used on the
 * network thread only.
 */
public final class NodeOverload implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(NodeOverload.class);

    /**
     * Delay of the network thread from which on calls wait until it has read what has arrived. With less, the close of a
     * caller's connection is read within half a second, before and after the call is made.
     */
    private static final long LATE_NANOS = Duration.ofMillis(250).toNanos();

    private final NodeMesh mesh;
    private final ConnectionRateLimit limit;
    private final Set<String> overloadedNodes = new HashSet<>();
    private final long tickNanos;
    private OptionalLong tickedAt = OptionalLong.empty();
    private long lastDelayNanos;
    private boolean announced;
    private long shed;

    /**
     * Creates the state of a node that is not overloaded. The caller subscribes it to the mesh.
     *
     * @param mesh      the nodes
     * @param tickNanos time between ticks of the network thread, in nanoseconds
     */
    public NodeOverload(NodeMesh mesh, long tickNanos) {
        this.mesh = mesh;
        this.tickNanos = tickNanos;
        this.limit = new ConnectionRateLimit(tickNanos);
    }

    /**
     * Records a tick of the network thread, and tells the other nodes if this changes anything. Ticks are scheduled one
     * interval after the last one.
     *
     * @param now monotonic time in nanoseconds
     */
    public void tick(long now) {
        long delayNanos = tickedAt.isPresent() ? Math.max(0, now - tickedAt.getAsLong() - tickNanos) : 0;
        tickedAt = OptionalLong.of(now);
        lastDelayNanos = delayNanos;
        limit.record(delayNanos, now);
        if (limit.isLimited() == announced) {
            return;
        }
        announced = limit.isLimited();
        LOGGER.info(
                "event=node-overload overloaded={} delay_ms={} nodes_overloaded={}",
                announced,
                Duration.ofNanos(delayNanos).toMillis(),
                overloadedNodes.size());
        mesh.broadcast(new OverloadMessage(announced));
    }

    /**
     * Returns whether this node takes one more connection. If most other nodes are overloaded too, it takes all: their
     * callers would find nothing better elsewhere.
     *
     * @return false if its caller should try another node
     */
    public boolean tryAdmit() {
        if (limit.tryAdmit() || !othersHaveCapacity()) {
            return true;
        }
        shed++;
        return false;
    }

    /**
     * Returns whether this node is overloaded.
     *
     * @return true while it limits new connections
     */
    public boolean isOverloaded() {
        return limit.isLimited();
    }

    /**
     * Returns whether the network thread is late, so that what has arrived may not have been read yet.
     *
     * @param now monotonic time in nanoseconds
     * @return true if its last tick was late, or the next one already is
     */
    public boolean isLate(long now) {
        boolean isTickOverdue = tickedAt.isPresent() && now - tickedAt.getAsLong() - tickNanos > LATE_NANOS;
        return isTickOverdue || lastDelayNanos > LATE_NANOS;
    }

    /**
     * Returns how many connections were left to other nodes.
     *
     * @return a count since the start of the process
     */
    public long shedConnections() {
        return shed;
    }

    @Override
    public void onNodeUp(MeshNode node) {
        if (announced) {
            node.send(new OverloadMessage(true));
        }
    }

    @Override
    public void onConnectionLost(MeshNode node) {
        node.send(new OverloadMessage(announced));
    }

    @Override
    public void onNodeDown(MeshNode node) {
        overloadedNodes.remove(node.address());
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (!(message instanceof OverloadMessage received)) {
            return;
        }
        if (received.overloaded()) {
            overloadedNodes.add(node.address());
        } else {
            overloadedNodes.remove(node.address());
        }
    }

    private boolean othersHaveCapacity() {
        List<String> others = mesh.serving();
        long free =
                others.stream().filter(node -> !overloadedNodes.contains(node)).count();
        return !others.isEmpty() && 2 * free >= others.size();
    }
}
