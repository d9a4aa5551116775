package org.copperspindle.coldstart;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.route.ColdLimits;
import org.copperspindle.routing.RendezvousScore;

/**
 * A cold upstream gets requests from a few nodes only, which all nodes choose alike by rendezvous, without asking anybody. All
 * nodes together send as much with few of them as with many, and one that is not among the senders finds another
 * upstream at once.
 *
 * <p>Nodes that see different nodes choose different senders for a while. What the senders may send together is therefore half of
 * what would be too much, so that two parts of a divided deployment keep within it; a node that sees few others sends nothing.
 */
public final class SenderSetAdmission implements ColdAdmission {

    /** Part of what a cold upstream bears that the nodes use: twice that is below what ends it. */
    private static final double USED = 0.75;

    private final String self;
    private final Supplier<List<String>> others;
    private final BooleanSupplier cutOff;
    private final RecentSends sends = new RecentSends();

    /**
     * Creates the rule.
     *
     * @param self   name of this node
     * @param others names of the other nodes that serve
     * @param cutOff says whether this node sees few of the nodes that were there a short while ago
     */
    public SenderSetAdmission(String self, Supplier<List<String>> others, BooleanSupplier cutOff) {
        this.self = self;
        this.others = others;
        this.cutOff = cutOff;
    }

    @Override
    public boolean mayTake(String upstream, ColdLimits limits, long now) {
        int all = (int) Math.max(1, USED * limits.perSecond());
        int sent = sends.count(upstream, now);
        if (sent >= all || cutOff.getAsBoolean()) {
            return false;
        }
        List<String> nodes = others.get();
        int senders = Math.min(all, nodes.size() + 1);
        long rank = before(upstream, nodes);
        // What does not divide evenly goes to the first senders.
        int own = all / senders + (rank < all % senders ? 1 : 0);
        return rank < senders && sent < own;
    }

    @Override
    public void recordSend(String upstream, long now) {
        sends.add(upstream, now);
    }

    /** Returns how many nodes are rather to send to an upstream than this one. */
    private long before(String upstream, List<String> nodes) {
        long own = RendezvousScore.of(upstream, self);
        return nodes.stream()
                .filter(node -> RendezvousScore.of(upstream, node) > own)
                .count();
    }
}
