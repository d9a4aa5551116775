package org.copperspindle.limits;

import java.util.Optional;

import org.copperspindle.config.Priority;
import org.copperspindle.pipeline.PipelineRequest;

/**
 * Attempts that wait for an upstream of one pool: by priority, then by fair share of the client accounts, then by age.
 */
final class WaitingLine {

    private final FairQueue[] byPriority = new FairQueue[Priority.values().length];

    WaitingLine() {
        for (int i = 0; i < byPriority.length; i++) {
            byPriority[i] = new FairQueue();
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

    /** Returns how many would be served before a new attempt of a request. */
    double aheadOf(PipelineRequest request) {
        double ahead = queue(request)
                .aheadOf(request.account().name(), request.account().weight());
        for (int i = 0; i < request.priority().ordinal(); i++) {
            ahead += byPriority[i].size();
        }
        return ahead;
    }

    /** Says whether anything of this or a higher priority waits. */
    boolean occupied(Priority priority) {
        for (int i = 0; i <= priority.ordinal(); i++) {
            if (byPriority[i].size() > 0) {
                return true;
            }
        }
        return false;
    }

    private FairQueue queue(PipelineRequest request) {
        return byPriority[request.priority().ordinal()];
    }
}
