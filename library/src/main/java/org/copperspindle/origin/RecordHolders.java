package org.copperspindle.origin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.copperspindle.mesh.MeshNode;
import org.copperspindle.routing.RendezvousScore;

/**
 * Orders the nodes that hold the record of a stream. All nodes compute the same order, but for nodes that they don't
 * reach. Nodes with a disk are first, since they keep records over a start of all nodes. The second one is in another
 * failure domain than the first if there is one, so that a lost failure domain does not take both.
 */
final class RecordHolders {

    private RecordHolders() {}

    /**
     * Returns the first holders of a record.
     *
     * @param key   the stream
     * @param nodes the nodes that are reached
     * @param count how many are needed
     * @return that many nodes, or all if there are fewer
     */
    static List<MeshNode> of(StreamKey key, List<MeshNode> nodes, int count) {
        List<MeshNode> ordered = new ArrayList<>(nodes);
        ordered.sort(Comparator.comparing((MeshNode node) -> !node.hello().durable())
                .thenComparing(
                        Comparator.comparingLong((MeshNode node) -> RendezvousScore.of(key.text(), node.address()))
                                .reversed()));
        firstElsewhere(ordered).ifPresent(node -> {
            ordered.remove(node);
            ordered.add(1, node);
        });
        return ordered.subList(0, Math.min(count, ordered.size()));
    }

    /** Returns the first node that may be second and is not in the failure domain of the first one. */
    private static Optional<MeshNode> firstElsewhere(List<MeshNode> ordered) {
        return ordered.stream()
                .skip(1)
                .filter(node -> node.hello().durable() == ordered.get(1).hello().durable())
                .filter(node -> !node.hello()
                        .failureDomain()
                        .equals(ordered.get(0).hello().failureDomain()))
                .findFirst();
    }
}
