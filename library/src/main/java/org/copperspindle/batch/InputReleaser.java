package org.copperspindle.batch;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.TimerService;

/**
 * Releases the inputs of the groups of one pool once the upstreams that run them have fetched them, so that the memory
 * of their producers is free before the calls end.
 */
final class InputReleaser {

    private static final Logger LOGGER = LogManager.getLogger(InputReleaser.class);

    /** Minimum interval between checks of a held group: a fraction of the time for which groups are held. */
    private static final long MIN_RECHECK_NANOS = Duration.ofMillis(20).toNanos();

    private final String pool;
    private final TimerService timers;
    private final ResultSink sink;
    private final Predicate<WaitingGroup> isStartable;
    private final FetchTimeEstimator fetchTime = new FetchTimeEstimator();

    /**
     * Creates a releaser.
     *
     * @param pool        name of the pool
     * @param timers      timers of the network thread
     * @param sink        releases the inputs
     * @param isStartable whether this node may start calls for a group; if not, another node may need its inputs
     */
    InputReleaser(String pool, TimerService timers, ResultSink sink, Predicate<WaitingGroup> isStartable) {
        this.pool = pool;
        this.timers = timers;
        this.sink = sink;
        this.isStartable = isStartable;
    }

    /** Releases the inputs of a call that is sent now, each group's once they have been fetched. */
    void releaseOnceFetched(List<PieceTask> tasks, BatchLimits known, long now) {
        long fetchNanos = fetchTime.nanos(known, inputBytes(tasks));
        tasks.stream().map(PieceTask::group).distinct().forEach(group -> releaseOnceFetched(group, now, fetchNanos));
    }

    /** Releases the inputs of a group that needs them no longer. */
    void release(WaitingGroup group) {
        List<StageResult> inputs = group.takeInputs();
        if (!inputs.isEmpty()) {
            sink.release(inputs);
        }
    }

    /**
     * Updates the fetch time estimate from a call whose inputs may have been released while it ran. Groups that another
     * node dispatches are left out: that node may have released their inputs.
     */
    void updateFetchTime(List<PieceTask> tasks, List<PieceOutcome> outcomes) {
        if (tasks.stream().allMatch(task -> task.group().isWithdrawn())) {
            return;
        }
        boolean releasedTooEarly = false;
        for (int i = 0; i < tasks.size(); i++) {
            releasedTooEarly |= outcomes.get(i).isMissedFor(MissReason.INPUT_GONE)
                    && !tasks.get(i).group().isWithdrawn()
                    && !tasks.get(i).group().hasInputs();
        }
        if (releasedTooEarly) {
            fetchTime.recordEarlyRelease();
            LOGGER.info("event=inputs-given-up-early pool={} pieces={}", pool, tasks.size());
        } else {
            fetchTime.recordSuccess();
        }
    }

    private void releaseOnceFetched(WaitingGroup group, long now, long fetchNanos) {
        group.markSent(now);
        if (group.group().ownsInputs()) {
            timers.schedule(fetchNanos, () -> releaseIfFetched(group, fetchNanos));
        }
    }

    /** Releases the inputs of a group; while it is held for another node that may run it, checks again later. */
    private void releaseIfFetched(WaitingGroup group, long fetchNanos) {
        if (!group.hasFetchedInputs(timers.nanoTime(), fetchNanos) || group.isWithdrawn()) {
            return;
        }
        if (isStartable.test(group)) {
            release(group);
        } else {
            timers.schedule(Math.max(fetchNanos, MIN_RECHECK_NANOS), () -> releaseIfFetched(group, fetchNanos));
        }
    }

    private static long inputBytes(List<PieceTask> tasks) {
        return tasks.stream()
                .mapToLong(task -> task.group().group().inputBytes())
                .sum();
    }
}
