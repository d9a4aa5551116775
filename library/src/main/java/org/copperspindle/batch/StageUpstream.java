package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;

/**
 * What the node that packs the calls knows of one upstream of its pool.
 */
final class StageUpstream {

    /**
     * Pause of a cold upstream that refused a call, and how often it is told of results that are given up: it bears a few requests
     * a second, refused ones too.
     */
    static final long COLD_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

    /** First pause after a lost call, doubled up to {@link #LONGEST_PAUSE_NANOS}: as long as one call takes. */
    private static final long FIRST_PAUSE_NANOS = 400_000_000L;

    /** An upstream that was slow or dark for long is tried again this often. */
    private static final long LONGEST_PAUSE_NANOS = 3_200_000_000L;

    /**
     * A call that takes so many times what it should is lost. An upstream whose answers are lost is free meanwhile: with more
     * patience each such call would keep it idle for seconds, and its requests would be late.
     */
    private static final double PATIENCE = 2.5;

    /** Growth of that with each loss in a row: after two, an upstream six times slower answers. */
    private static final double PATIENCE_GROWTH = 1.6;

    private static final int MOST_LOSSES = 3;

    /** Weight of the newest call in the mean of how much longer than expected calls take. */
    private static final double SPEED_WEIGHT = 0.4;

    /** Pause before a slow upstream gets its first small call, doubled with each one that was slow again. */
    private static final long FIRST_TRIAL_NANOS = 400_000_000L;

    /** Doublings of that: a slow upstream that stays slow delays one group every 3.2 s. */
    private static final int MOST_TRIAL_DOUBLINGS = 3;

    /** Part of the memory for results that is filled: their sizes are known approximately only. */
    private static final double USED_ROOM = 0.98;

    private final Deque<Result> results = new ArrayDeque<>();
    private final Set<String> toFree = new LinkedHashSet<>();
    private UpstreamRecord news;
    private int calls;
    private int losses;
    private long pausedUntil;
    private long busyUntil;
    private boolean paused;
    private double slowness = 1;
    private boolean onTrial;
    private int slowTrials;
    private long trialFrom;
    private long resultBytes;
    private long freedAt = Long.MIN_VALUE / 2;
    private boolean workedLast;

    StageUpstream(UpstreamRecord news) {
        this.news = news;
    }

    UpstreamRecord news() {
        return news;
    }

    void news(UpstreamRecord newest) {
        news = newest;
    }

    boolean isFree(BatchLimits limits, long now) {
        return !isPaused(now) && calls < limits.concurrentCalls();
    }

    boolean isPaused(long now) {
        paused = paused && now - pausedUntil < 0;
        return paused;
    }

    int calls() {
        return calls;
    }

    /** Returns how much longer than expected its calls take; 1 is as expected. */
    double slowness() {
        return slowness;
    }

    void started(long until) {
        calls++;
        busyUntil = until;
    }

    /** Returns how long its call will still take. */
    long busyNanos(long now) {
        return calls == 0 ? 0 : Math.max(0, busyUntil - now);
    }

    void answered(long expectedNanos, long tookNanos) {
        calls--;
        double seen = (double) tookNanos / expectedNanos;
        // What was known of an upstream that was left alone is old by then.
        slowness = onTrial ? seen : slowness + SPEED_WEIGHT * (seen - slowness);
        onTrial = false;
    }

    /** Notes that a call is over that shows nothing of the upstream. */
    void ended() {
        calls--;
        onTrial = false;
    }

    /** Notes that its next call shows whether it is still slow. */
    void tried() {
        onTrial = true;
    }

    /**
     * Notes after a call whether it is slow, and leaves it alone for a while if so.
     *
     * @return true if that has changed
     */
    boolean found(boolean slow, long now) {
        boolean changed = slow != slowTrials > 0;
        trialFrom = now + (FIRST_TRIAL_NANOS << Math.min(slowTrials, MOST_TRIAL_DOUBLINGS));
        slowTrials = slow ? slowTrials + 1 : 0;
        return changed;
    }

    /** Says whether a slow upstream may get a small call to show that it is sound again. */
    boolean isTrialDue(long now) {
        return now - trialFrom >= 0;
    }

    /**
     * Returns after how long a call is lost that is expected to take some time. Each loss in a row gives the next call more: an
     * upstream that has turned slow answers one at last, and is known for slow from there on.
     */
    long patienceNanos(long expectedNanos) {
        int inARow = Math.min(MOST_LOSSES, losses);
        return (long) (expectedNanos * PATIENCE * Math.max(1, slowness) * Math.pow(PATIENCE_GROWTH, inARow));
    }

    /** Leaves the upstream alone for a while after a call that it lost. */
    long lost(long now) {
        calls--;
        onTrial = false;
        return failing(now);
    }

    /** Leaves the upstream alone for a while after a call whose pieces mostly failed. */
    long failing(long now) {
        long pause = Math.min(LONGEST_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(losses, 3));
        losses++;
        pause(now, pause);
        return pause;
    }

    /** Notes that a call gave results. */
    void recordSuccess() {
        losses = 0;
    }

    void notRun(long now, long pauseNanos) {
        calls--;
        onTrial = false;
        pause(now, pauseNanos);
    }

    void pause(long now, long nanos) {
        paused = true;
        pausedUntil = now + nanos;
    }

    void holds(WaitingGroup group, String handle, long bytes, long until) {
        results.addLast(new Result(group, handle, bytes, until));
        resultBytes += bytes;
    }

    /** Returns the results that were made for some groups and not given up yet. */
    List<String> madeFor(Predicate<WaitingGroup> groups) {
        return results.stream()
                .filter(result -> groups.test(result.group()))
                .map(Result::handle)
                .toList();
    }

    long roomLeft(BatchLimits limits, long now) {
        while (!results.isEmpty() && now - results.peekFirst().until() >= 0) {
            resultBytes -= results.pollFirst().bytes();
        }
        return (long) (limits.resultBytes() * USED_ROOM) - resultBytes;
    }

    void free(String handle) {
        toFree.add(handle);
    }

    /** Says whether a cold upstream may be told of results again, or has none to be told of. */
    boolean mayFreeWhileCold(long now) {
        return !hasFreed() || now - freedAt >= COLD_PAUSE_NANOS;
    }

    /** Notes that it gets a call that makes pieces. */
    void worked() {
        workedLast = true;
    }

    /** Says whether it has results to be told of. */
    boolean hasFreed() {
        return !toFree.isEmpty();
    }

    /** Says whether it is to be told of given up results before it gets another call. */
    boolean shouldFreeFirst() {
        return workedLast && hasFreed();
    }

    /** Takes the results to give up now. */
    List<String> takeFreed(long now) {
        List<String> freed = List.copyOf(toFree);
        toFree.clear();
        freedAt = freed.isEmpty() ? freedAt : now;
        workedLast &= freed.isEmpty();
        return freed;
    }

    /**
     * Notes that results are gone from the upstream's memory. Counted as free when they are given up, the next call would
     * overtake that on another connection and find the memory full.
     */
    void freed(List<String> handles) {
        Set<String> gone = Set.copyOf(handles);
        results.removeIf(result -> {
            boolean given = gone.contains(result.handle());
            resultBytes -= given ? result.bytes() : 0;
            return given;
        });
    }

    private record Result(WaitingGroup group, String handle, long bytes, long until) {}
}
