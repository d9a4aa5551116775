package org.copperspindle.coldstart;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.route.ColdLimits;
import org.copperspindle.routing.RendezvousScore;

/**
 * Lets only a few nodes send to a cold upstream; all nodes choose the same senders by rendezvous hashing, without
 * communicating. The total rate is the same with few nodes as with many, and a node that is not among the senders
 * chooses another upstream at once.
 *
 * <p>Nodes with different views of the mesh choose different senders for a while. The senders together may therefore
 * send only half of what would be too much, so that two sides of a network partition stay within the limit; a node
 * that sees few others sends nothing.
 */
public final class SenderSetAdmission implements ColdAdmission {

    /**
     * Share of the rate of a cold upstream that the nodes use: twice this share is below the load that crashes it.
     */
    private static final double USED_SHARE = 0.75;

    private final String self;
    private final Supplier<List<String>> others;
    private final BooleanSupplier isolated;
    private final RecentSends sends = new RecentSends();

    /**
     * Creates the admission.
     *
     * @param self     name of this node
     * @param others   returns the names of the other serving nodes
     * @param isolated returns whether this node sees only few of the nodes that it saw recently
     */
    public SenderSetAdmission(String self, Supplier<List<String>> others, BooleanSupplier isolated) {
        this.self = self;
        this.others = others;
        this.isolated = isolated;
    }

    @Override
    public boolean mayTake(String upstream, ColdLimits limits, long now) {
        int all = (int) Math.max(1, USED_SHARE * limits.perSecond());
        int sent = sends.count(upstream, now);
        if (sent >= all || isolated.getAsBoolean()) {
            return false;
        }
        List<String> nodes = others.get();
        int senders = Math.min(all, nodes.size() + 1);
        long rank = rankOf(upstream, nodes);
        // The remainder of the division goes to the first senders.
        int own = all / senders + (rank < all % senders ? 1 : 0);
        return rank < senders && sent < own;
    }

    @Override
    public void recordSend(String upstream, long now) {
        sends.add(upstream, now);
    }

    /** Returns this node's rank among the senders to an upstream: the number of nodes that precede it. */
    private long rankOf(String upstream, List<String> nodes) {
        long own = RendezvousScore.of(upstream, self);
        return nodes.stream()
                .filter(node -> RendezvousScore.of(upstream, node) > own)
                .count();
    }
}
