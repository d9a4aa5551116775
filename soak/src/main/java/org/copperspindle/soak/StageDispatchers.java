package org.copperspindle.soak;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.copperspindle.routing.RendezvousScore;

/**
 * Chooses the node that dispatches a stage pool, by the rule of the nodes: those without a data folder come first, then
 * the highest score decides. The dispatcher of the first pool of a group is also the controller of its admission.
 */
final class StageDispatchers {

    private final List<NodeProcess> nodes;
    private final Set<NodeProcess> taken = new HashSet<>();

    StageDispatchers(List<NodeProcess> nodes) {
        this.nodes = nodes;
    }

    /** Takes the dispatcher of a pool to disturb it; while it is taken, the next node in the order follows. */
    synchronized NodeProcess take(String pool) {
        NodeProcess node = nodes.stream()
                .filter(n -> !taken.contains(n))
                .max(Comparator.comparing((NodeProcess n) -> !n.isDurable())
                        .thenComparing(n -> RendezvousScore.of(pool, n.meshAddress())))
                .orElseThrow();
        taken.add(node);
        return node;
    }

    synchronized void release(NodeProcess node) {
        taken.remove(node);
    }
}
