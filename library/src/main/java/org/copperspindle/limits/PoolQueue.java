package org.copperspindle.limits;

import java.util.Optional;

import org.copperspindle.config.Priority;
import org.copperspindle.pipeline.PipelineRequest;

/**
 * Queue of attempts that wait for an upstream of one pool: by priority, then by fair share of the client accounts,
 * then by age.
 */
final class PoolQueue {

    private static final double MIN_RATE_PER_SECOND = 0.1;

    private final FairQueue[] byPriority = new FairQueue[Priority.values().length];
    private final DecayingRate[] rates = new DecayingRate[Priority.values().length];

    PoolQueue() {
        for (int i = 0; i < byPriority.length; i++) {
            byPriority[i] = new FairQueue();
            rates[i] = new DecayingRate();
        }
    }

    void add(Waiter waiter) {
        queue(waiter.request()).add(waiter);
    }

    Optional<Waiter> peek() {
        for (FairQueue queue : byPriority) {
            if (queue.size() > 0) {
                return queue.peek();
            }
        }
        return Optional.empty();
    }

    void remove(PipelineRequest request) {
        queue(request).remove(request);
    }

    /** Removes the attempt that {@link #peek} returned. */
    void poll() {
        for (FairQueue queue : byPriority) {
            if (queue.size() > 0) {
                queue.poll();
                return;
            }
        }
    }

    /** Records that an attempt was dispatched, from the queue or directly. */
    void dispatched(Priority priority, long now) {
        rates[priority.ordinal()].count(now);
    }

    /** Returns the expected waiting time of a new attempt of a request, in seconds. */
    double waitSeconds(PipelineRequest request, long now) {
        int own = request.priority().ordinal();
        double higher = 0;
        double total = 0;
        double remainingRate = 0;
        for (int i = 0; i < byPriority.length; i++) {
            double rate = rates[i].perSecond(now);
            total += rate;
            if (i < own) {
                higher += byPriority[i].size();
            } else {
                // Higher priorities are assumed to keep their current rate, so only the remaining rate serves this
                // queue.
                remainingRate += rate;
            }
        }
        double ahead = byPriority[own].aheadOf(
                request.account().name(), request.account().weight());
        return higher / Math.max(MIN_RATE_PER_SECOND, total) + ahead / Math.max(MIN_RATE_PER_SECOND, remainingRate);
    }

    private FairQueue queue(PipelineRequest request) {
        return byPriority[request.priority().ordinal()];
    }
}
