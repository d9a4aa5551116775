package org.copperspindle.limits;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.copperspindle.pipeline.PipelineRequest;

/**
 * Waiting attempts of one priority, served by weighted fair shares of the client accounts (start-time fair queueing)
 * and by age within an account.
 */
final class FairQueue {

    private final Map<String, AccountQueue> queues = new HashMap<>();
    private final PriorityQueue<AccountQueue> active = new PriorityQueue<>(
            Comparator.comparingDouble((AccountQueue queue) -> queue.startTag).thenComparing(queue -> queue.account));
    private double virtualTime;
    private int size;

    void add(Waiter waiter) {
        String account = waiter.request().account().name();
        AccountQueue queue = queues.computeIfAbsent(account, AccountQueue::new);
        queue.weight = waiter.request().account().weight();
        if (queue.waiters.isEmpty()) {
            // An account that was idle starts at the current virtual time: idle time earns no later priority.
            queue.startTag = Math.max(queue.startTag, virtualTime);
            active.add(queue);
        }
        queue.waiters.add(waiter);
        size++;
    }

    Optional<Waiter> peek() {
        return Optional.ofNullable(active.peek()).map(queue -> queue.waiters.peek());
    }

    Waiter poll() {
        AccountQueue queue = active.poll();
        Waiter waiter = queue.waiters.poll();
        size--;
        virtualTime = queue.startTag;
        queue.startTag += 1 / queue.weight;
        reinsert(queue);
        return waiter;
    }

    boolean remove(PipelineRequest request) {
        AccountQueue queue = queues.get(request.account().name());
        if (queue == null
                || !queue.waiters.removeIf(w -> w.request().requestId().equals(request.requestId()))) {
            return false;
        }
        size--;
        active.remove(queue);
        reinsert(queue);
        return true;
    }

    int size() {
        return size;
    }

    /** Returns the number of attempts that would be served before a new attempt of an account. */
    double aheadOf(String account, double weight) {
        AccountQueue own = queues.get(account);
        double turns = own == null ? 1 : own.waiters.size() + 1;
        double ahead = turns - 1;
        for (AccountQueue queue : active) {
            if (queue != own) {
                ahead += Math.min(queue.waiters.size(), turns * queue.weight / weight);
            }
        }
        return ahead;
    }

    private void reinsert(AccountQueue queue) {
        if (queue.waiters.isEmpty()) {
            if (queue.startTag <= virtualTime) {
                queues.remove(queue.account);
            }
        } else {
            active.add(queue);
        }
    }

    private static final class AccountQueue {
        private final String account;
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private double weight = 1;
        private double startTag;

        private AccountQueue(String account) {
            this.account = account;
        }
    }
}
