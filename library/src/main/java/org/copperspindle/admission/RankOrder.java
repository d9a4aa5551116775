package org.copperspindle.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Order between the ranks of waiting requests: start-time fair queueing in which each rank has an eighth of the weight
 * of the next more urgent rank that waits. Urgent requests go first, and the others don't starve.
 */
final class RankOrder {

    /** Work of a rank relative to the next more urgent one. */
    private static final double LOWER_RANK_FRACTION = 0.125;

    private final Map<Integer, Double> startTags;

    /** Work that waiting ranks may start although capacity is kept for more urgent requests. */
    private final Map<Integer, Double> creditNanos = new HashMap<>();

    private double virtualTime;

    RankOrder() {
        startTags = new HashMap<>();
    }

    /** Creates a copy by which a future order is computed. */
    RankOrder(RankOrder other) {
        startTags = new HashMap<>(other.startTags);
        virtualTime = other.virtualTime;
    }

    /**
     * Returns the rank whose turn it is.
     *
     * @param waiting ranks with waiting requests, most urgent first; not empty
     */
    int next(Collection<Integer> waiting) {
        int next = waiting.iterator().next();
        for (int rank : waiting) {
            if (tag(rank) < tag(next)) {
                next = rank;
            }
        }
        return next;
    }

    /**
     * Charges a rank for a request that starts.
     *
     * @param rank      the rank
     * @param costNanos work of the request
     * @param waiting   ranks with waiting requests, with this rank, most urgent first
     */
    void charge(int rank, double costNanos, Collection<Integer> waiting) {
        double weight = 1;
        double credit = costNanos;
        for (int other : waiting) {
            if (other < rank) {
                weight *= LOWER_RANK_FRACTION;
            } else if (other > rank) {
                credit *= LOWER_RANK_FRACTION;
                creditNanos.merge(other, credit, Double::sum);
            }
        }
        creditNanos.merge(rank, -costNanos, (known, cost) -> Math.max(0, known + cost));
        creditNanos.values().removeIf(left -> left <= 0);
        virtualTime = Math.max(virtualTime, tag(rank));
        startTags.put(rank, tag(rank) + costNanos / weight);
        startTags.values().removeIf(tag -> tag <= virtualTime);
    }

    /** Returns whether more urgent ranks have started so much that a waiting rank's part of it allows a request. */
    boolean hasCredit(int rank, double costNanos) {
        return creditNanos.getOrDefault(rank, 0.0) >= costNanos;
    }

    /** Forgets the work done so far: while nothing waits, no rank takes capacity from another one. */
    void reset() {
        startTags.clear();
        creditNanos.clear();
        virtualTime = 0;
    }

    private double tag(int rank) {
        // A rank that was idle starts at the current virtual time: idle time earns no later priority.
        return Math.max(virtualTime, startTags.getOrDefault(rank, virtualTime));
    }
}
