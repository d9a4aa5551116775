package org.copperspindle.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * Resumes requests that wait for an upstream once one has capacity.
 */
final class WaitingRequests {

    /** Interval of rechecks: the end of an ejection causes no event, so pools with queued requests are polled. */
    private static final long RECHECK_NANOS = Duration.ofMillis(100).toNanos();

    private final TimerService timers;
    private final EntryPolicy policy;
    private final Consumer<PipelineRequest> onResumed;
    private final DeferredTask recheck;
    private final Set<String> freedPools = new TreeSet<>();
    private final Set<String> queuedPools = new TreeSet<>();
    private boolean resuming;

    WaitingRequests(TimerService timers, EntryPolicy policy, Consumer<PipelineRequest> onResumed) {
        this.timers = timers;
        this.policy = policy;
        this.onResumed = onResumed;
        this.recheck = new DeferredTask(timers, this::recheck);
    }

    /** Records that a request was queued for a pool. */
    void onQueued(String pool) {
        queuedPools.add(pool);
        recheck.schedule(RECHECK_NANOS);
    }

    /**
     * Resumes requests of a pool that may have capacity. Pools that are freed meanwhile are processed afterwards in the
     * same loop, so that calls don't nest.
     */
    void onCapacity(String pool) {
        freedPools.add(pool);
        if (resuming) {
            return;
        }
        resuming = true;
        try {
            while (!freedPools.isEmpty()) {
                String next = freedPools.iterator().next();
                freedPools.remove(next);
                resume(next);
            }
        } finally {
            resuming = false;
        }
    }

    private void resume(String pool) {
        Optional<PipelineRequest> next = policy.next(pool, timers.nanoTime());
        while (next.isPresent()) {
            onResumed.accept(next.get());
            next = policy.next(pool, timers.nanoTime());
        }
    }

    private void recheck() {
        Set<String> pools = new TreeSet<>(queuedPools);
        queuedPools.clear();
        for (String pool : pools) {
            onCapacity(pool);
            if (policy.hasWaiting(pool)) {
                onQueued(pool);
            }
        }
    }
}
