package org.copperspindle.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;

import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Committed changes that are not yet in force everywhere, each with the callback to notify.
 */
final class PendingChanges {

    private final TimerService timers;
    private final List<Pending> waiting = new ArrayList<>();

    PendingChanges(TimerService timers) {
        this.timers = timers;
    }

    /**
     * Adds a change.
     *
     * @param version   version to wait for
     * @param waitNanos longest wait
     * @param reason    describes what the version is waiting for
     * @param callback  called once with the outcome
     */
    void add(long version, long waitNanos, LongFunction<String> reason, Consumer<ApplyOutcome> callback) {
        Pending pending = new Pending(version, callback);
        pending.timeout = timers.schedule(waitNanos, () -> {
            waiting.remove(pending);
            callback.accept(new ApplyOutcome.Unknown(version, reason.apply(version)));
        });
        waiting.add(pending);
    }

    /**
     * Completes the changes whose version is in force.
     *
     * @param inForce returns whether a version is in force
     */
    void complete(LongPredicate inForce) {
        finish(
                waiting.stream().filter(p -> inForce.test(p.version)).toList(),
                p -> new ApplyOutcome.Accepted(p.version));
    }

    /** Completes all changes with an unknown outcome, since this member does not lead any more. */
    void abandon() {
        finish(
                List.copyOf(waiting),
                p -> new ApplyOutcome.Unknown(p.version, "committed; the leader changed before it was in force"));
    }

    /**
     * Lists the versions waited for.
     *
     * @return versions in ascending order, each once
     */
    List<Long> versions() {
        return waiting.stream().map(p -> p.version).distinct().sorted().toList();
    }

    private void finish(List<Pending> done, Function<Pending, ApplyOutcome> outcome) {
        waiting.removeAll(done);
        for (Pending pending : done) {
            pending.timeout.cancel();
            pending.callback.accept(outcome.apply(pending));
        }
    }

    /** One committed change. */
    private static final class Pending {
        private final long version;
        private final Consumer<ApplyOutcome> callback;
        private TimerSubscription timeout = () -> {};

        private Pending(long version, Consumer<ApplyOutcome> callback) {
            this.version = version;
            this.callback = callback;
        }
    }
}
