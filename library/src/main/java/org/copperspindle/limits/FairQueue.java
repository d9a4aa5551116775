package org.copperspindle.limits;

import java.util.Optional;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.fairness.FairShareQueue;
import org.copperspindle.pipeline.PipelineRequest;

/**
 * Waiting attempts of one priority, served by weighted fair shares of the client accounts and by age within an account.
 */
final class FairQueue {

    /** Attempts are counted: each takes one place at an upstream. */
    private static final double COST = 1;

    private final FairShareQueue<Waiter> queue = new FairShareQueue<>((first, second) -> 0);

    void add(Waiter waiter) {
        AccountSettings account = waiter.request().account();
        queue.add(account.name(), account.weight(), COST, waiter);
    }

    Optional<Waiter> peek() {
        return queue.peek();
    }

    Waiter poll() {
        return queue.poll().orElseThrow();
    }

    boolean remove(PipelineRequest request) {
        return queue.removeIf(
                request.account().name(), w -> w.request().requestId().equals(request.requestId()));
    }

    int size() {
        return queue.size();
    }

    /** Returns the number of attempts that would be served before a new attempt of an account. */
    double aheadOf(String account, double weight) {
        return queue.aheadOf(account, weight, COST);
    }
}
