package org.copperspindle.origin;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Queries that are repeated after a while, or as soon as another node can be asked.
 */
final class RepeatedQueries {

    /** Time in which nodes that come up together are awaited, in nanoseconds. */
    private static final long GATHER_NANOS = Duration.ofMillis(5).toNanos();

    private final TimerService timers;
    private final DeferredTask repetition;
    private final Set<Repeated> waiting = new LinkedHashSet<>();

    /**
     * Creates the queries.
     *
     * @param timers timers of the network thread
     */
    RepeatedQueries(TimerService timers) {
        this.timers = timers;
        this.repetition = new DeferredTask(timers, this::repeatAll);
    }

    /** Repeats a query after a delay, or sooner. */
    void add(long delayNanos, Runnable query) {
        Repeated repeated = new Repeated(query);
        waiting.add(repeated);
        repeated.timer = timers.schedule(delayNanos, () -> {
            waiting.remove(repeated);
            query.run();
        });
    }

    /** Repeats all queries now that another node can be asked. */
    void onNodeUp() {
        if (!waiting.isEmpty()) {
            repetition.schedule(GATHER_NANOS);
        }
    }

    private void repeatAll() {
        List<Repeated> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(each -> {
            each.timer.cancel();
            each.query.run();
        });
    }

    /** A query that waits; equal only to itself. */
    private static final class Repeated {
        private final Runnable query;
        private TimerSubscription timer = () -> {};

        private Repeated(Runnable query) {
            this.query = query;
        }
    }
}
