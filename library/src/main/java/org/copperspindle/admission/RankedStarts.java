package org.copperspindle.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.copperspindle.fairness.FairShareQueue;

/**
 * Waiting requests by rank and fair share of their accounts.
 */
final class RankedStarts {

    private final TreeMap<Integer, FairShareQueue<WaitingStart>> queues = new TreeMap<>();
    private final RankOrder ranks = new RankOrder();

    void add(WaitingStart waiting) {
        queues.computeIfAbsent(waiting.request().rank(), rank -> new FairShareQueue<>(WaitingStart.BY_LATEST_START))
                .add(
                        waiting.request().accountName(),
                        waiting.start().weight(),
                        Math.max(1, waiting.costNanos()),
                        waiting);
    }

    /**
     * Returns the next request to start.
     *
     * @param eligible returns whether a request can start now
     * @return the first eligible request by rank and fair share
     */
    Optional<WaitingStart> next(Predicate<WaitingStart> eligible) {
        TreeSet<Integer> left = new TreeSet<>(queues.keySet());
        while (!left.isEmpty()) {
            int rank = ranks.next(left);
            Optional<WaitingStart> next = queues.get(rank).peek(eligible);
            if (next.isPresent()) {
                return next;
            }
            left.remove(rank);
        }
        return Optional.empty();
    }

    /** Removes a request that starts, and charges its rank and its account. */
    void serve(WaitingStart waiting) {
        int rank = waiting.request().rank();
        ranks.charge(rank, Math.max(1, waiting.costNanos()), queues.keySet());
        queues.get(rank).serve(waiting.request().accountName(), waiting);
        dropEmpty(rank);
    }

    /** Removes a request that does not start; returns whether it was here. */
    boolean remove(WaitingStart waiting) {
        int rank = waiting.request().rank();
        FairShareQueue<WaitingStart> queue = queues.get(rank);
        boolean removed = queue != null && queue.removeIf(waiting.request().accountName(), other -> other == waiting);
        if (removed) {
            dropEmpty(rank);
        }
        return removed;
    }

    /** Returns whether the part of a request's rank allows it to start before capacity is kept for urgent requests. */
    boolean hasCredit(WaitingStart waiting) {
        return ranks.hasCredit(waiting.request().rank(), waiting.costNanos());
    }

    /** Returns all requests in the order in which they would start if no others came. */
    List<WaitingStart> inOrder() {
        Map<Integer, Iterator<WaitingStart>> left = new TreeMap<>();
        queues.forEach((rank, queue) -> left.put(rank, queue.inOrder().iterator()));
        RankOrder future = new RankOrder(ranks);
        List<WaitingStart> order = new ArrayList<>();
        while (!left.isEmpty()) {
            int rank = future.next(left.keySet());
            WaitingStart next = left.get(rank).next();
            order.add(next);
            future.charge(rank, Math.max(1, next.costNanos()), left.keySet());
            if (!left.get(rank).hasNext()) {
                left.remove(rank);
            }
        }
        return order;
    }

    /** Returns the request of the least urgent rank that would start last. */
    Optional<WaitingStart> last() {
        return Optional.ofNullable(queues.lastEntry()).map(entry -> {
            List<WaitingStart> order = entry.getValue().inOrder();
            return order.get(order.size() - 1);
        });
    }

    /** Returns whether requests of a rank, or of a more urgent one, wait. */
    boolean hasRankUpTo(int rank) {
        return !queues.isEmpty() && queues.firstKey() <= rank;
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    private void dropEmpty(int rank) {
        if (queues.get(rank).size() == 0) {
            queues.remove(rank);
        }
        if (queues.isEmpty()) {
            ranks.reset();
        }
    }
}
