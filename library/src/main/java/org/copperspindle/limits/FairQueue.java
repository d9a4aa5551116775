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
 * Waiting attempts of one priority, served by weighted fair shares of the client accounts (start-time fair queueing),
 * by age within an account.
 */
final class FairQueue {

    private final Map<String, AccountLine> lines = new HashMap<>();
    private final PriorityQueue<AccountLine> active = new PriorityQueue<>(
            Comparator.comparingDouble((AccountLine line) -> line.startTag).thenComparing(line -> line.account));
    private double virtualTime;
    private int size;

    void add(Waiter waiter) {
        String account = waiter.request().account().name();
        AccountLine line = lines.computeIfAbsent(account, AccountLine::new);
        line.weight = waiter.request().account().weight();
        if (line.waiters.isEmpty()) {
            // An account that was idle starts level with the others: time without work earns no later priority.
            line.startTag = Math.max(line.startTag, virtualTime);
            active.add(line);
        }
        line.waiters.add(waiter);
        size++;
    }

    Optional<Waiter> peek() {
        return Optional.ofNullable(active.peek()).map(line -> line.waiters.peek());
    }

    Waiter poll() {
        AccountLine line = active.poll();
        Waiter waiter = line.waiters.poll();
        size--;
        virtualTime = line.startTag;
        line.startTag += 1 / line.weight;
        reinsert(line);
        return waiter;
    }

    boolean remove(PipelineRequest request) {
        AccountLine line = lines.get(request.account().name());
        if (line == null || !line.waiters.removeIf(w -> w.request().requestId().equals(request.requestId()))) {
            return false;
        }
        size--;
        active.remove(line);
        reinsert(line);
        return true;
    }

    int size() {
        return size;
    }

    /** Returns how many would be served before a new attempt of an account. */
    double aheadOf(String account, double weight) {
        AccountLine own = lines.get(account);
        double turns = own == null ? 1 : own.waiters.size() + 1;
        double ahead = turns - 1;
        for (AccountLine line : active) {
            if (line != own) {
                ahead += Math.min(line.waiters.size(), turns * line.weight / weight);
            }
        }
        return ahead;
    }

    private void reinsert(AccountLine line) {
        if (line.waiters.isEmpty()) {
            if (line.startTag <= virtualTime) {
                lines.remove(line.account);
            }
        } else {
            active.add(line);
        }
    }

    private static final class AccountLine {
        private final String account;
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private double weight = 1;
        private double startTag;

        private AccountLine(String account) {
            this.account = account;
        }
    }
}
