package org.copperspindle.limits;

import java.util.Optional;

import org.copperspindle.config.Priority;
import org.copperspindle.pipeline.PipelineRequest;

/**
 * Attempts that wait for an upstream of one pool: by priority, then by fair share of the client accounts, then by age.
 */
final class WaitingLine {

    private static final double MIN_RATE = 0.1;

    private final FairQueue[] byPriority = new FairQueue[Priority.values().length];
    private final DecayingRate[] rates = new DecayingRate[Priority.values().length];

    WaitingLine() {
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

    /** Takes out what {@link #peek} showed. */
    void poll() {
        for (FairQueue queue : byPriority) {
            if (queue.size() > 0) {
                queue.poll();
                return;
            }
        }
    }

    /** Counts an attempt that left the line, or did not need it, for an upstream. */
    void dispatched(Priority priority, long now) {
        rates[priority.ordinal()].count(now);
    }

    /** Returns how long a new attempt of a request would wait, in seconds. */
    double waitSeconds(PipelineRequest request, long now) {
        int own = request.priority().ordinal();
        double higher = 0;
        double total = 0;
        double left = 0;
        for (int i = 0; i < byPriority.length; i++) {
            double rate = rates[i].perSecond(now);
            total += rate;
            if (i < own) {
                higher += byPriority[i].size();
            } else {
                // What higher priorities take now they will go on taking, so only the rest moves this line.
                left += rate;
            }
        }
        double ahead = byPriority[own].aheadOf(
                request.account().name(), request.account().weight());
        return higher / Math.max(MIN_RATE, total) + ahead / Math.max(MIN_RATE, left);
    }

    private FairQueue queue(PipelineRequest request) {
        return byPriority[request.priority().ordinal()];
    }
}
