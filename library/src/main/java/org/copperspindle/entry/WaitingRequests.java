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
 * Lets requests that wait for an upstream go on when one may be used.
 */
final class WaitingRequests {

    /** An ejection ends without any message, so pools with a line are looked at again after this time. */
    private static final long LOOK_AGAIN_NANOS = Duration.ofMillis(100).toNanos();

    private final TimerService timers;
    private final EntryPolicy policy;
    private final Consumer<PipelineRequest> resumed;
    private final DeferredTask lookAgain;
    private final Set<String> freed = new TreeSet<>();
    private final Set<String> watched = new TreeSet<>();
    private boolean resuming;

    WaitingRequests(TimerService timers, EntryPolicy policy, Consumer<PipelineRequest> resumed) {
        this.timers = timers;
        this.policy = policy;
        this.resumed = resumed;
        this.lookAgain = new DeferredTask(timers, this::lookAgain);
    }

    /** A request got in line for a pool. */
    void waits(String pool) {
        watched.add(pool);
        lookAgain.schedule(LOOK_AGAIN_NANOS);
    }

    /** Room may have come in a pool. What that causes in turn is queued behind it, so that nothing nests. */
    void freed(String pool) {
        freed.add(pool);
        if (resuming) {
            return;
        }
        resuming = true;
        try {
            while (!freed.isEmpty()) {
                String next = freed.iterator().next();
                freed.remove(next);
                resume(next);
            }
        } finally {
            resuming = false;
        }
    }

    private void resume(String pool) {
        Optional<PipelineRequest> next = policy.next(pool, timers.nanoTime());
        while (next.isPresent()) {
            resumed.accept(next.get());
            next = policy.next(pool, timers.nanoTime());
        }
    }

    private void lookAgain() {
        Set<String> pools = new TreeSet<>(watched);
        watched.clear();
        for (String pool : pools) {
            freed(pool);
            if (policy.hasWaiting(pool)) {
                waits(pool);
            }
        }
    }
}
