package org.copperspindle.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.pipeline.PipelineRequest;
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
    private final Set<String> freed = new TreeSet<>();
    private final Set<String> watched = new TreeSet<>();
    private boolean resuming;
    private boolean armed;

    WaitingRequests(TimerService timers, EntryPolicy policy, Consumer<PipelineRequest> resumed) {
        this.timers = timers;
        this.policy = policy;
        this.resumed = resumed;
    }

    /** A request got in line for a pool. */
    void waits(String pool) {
        watched.add(pool);
        if (!armed) {
            armed = true;
            timers.schedule(LOOK_AGAIN_NANOS, this::lookAgain);
        }
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
        armed = false;
        Set<String> pools = new TreeSet<>(watched);
        watched.clear();
        for (String pool : pools) {
            freed(pool);
            if (policy.waiting(pool)) {
                waits(pool);
            }
        }
    }
}
