package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;

/**
 * The state of one upstream as seen by the dispatcher of its pool: its calls, speed, pauses and the results that it
 * holds.
 */
final class StageUpstream {

    /**
     * Pause of a cold upstream that refused a call, and the interval between its releases of results: it can take a
     * few requests a second, and refused ones count.
     */
    static final long COLD_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Pause after the first lost call, doubled with each further one up to {@link #MAX_PAUSE_NANOS}; about the
     * duration of one call.
     */
    private static final long INITIAL_PAUSE_NANOS = 400_000_000L;

    /** Interval in which an upstream that keeps losing calls is tried again. */
    private static final long MAX_PAUSE_NANOS = 3_200_000_000L;

    /**
     * Multiple of the expected duration after which a call counts as lost. An upstream whose responses get lost is
     * idle meanwhile: with a larger factor each such call would keep it idle for seconds, and the requests would be
     * late.
     */
    private static final double TIMEOUT_FACTOR = 2.5;

    /**
     * Growth of the factor with each consecutive loss: after two losses, an upstream that is six times slower answers
     * in time.
     */
    private static final double TIMEOUT_GROWTH = 1.6;

    private static final int MAX_COUNTED_LOSSES = 3;

    /**
     * Pace up to which a timeout is lengthened. With a larger one, an upstream that fails after it has stated an
     * excessive pace would hold its pieces beyond the timeouts of their requests.
     */
    private static final double MAX_TIMEOUT_PACE = 4;

    /** Weight of the latest call in the moving average of the slowness. */
    private static final double SPEED_WEIGHT = 0.4;

    /**
     * Delay before a slow upstream gets its first probe, a small call; doubled with each probe that was slow again.
     */
    private static final long INITIAL_PROBE_DELAY_NANOS = 400_000_000L;

    /** Limit of these doublings: an upstream that stays slow delays one group every 3.2 s. */
    private static final int MAX_PROBE_DELAY_DOUBLINGS = 3;

    /** Share of the memory for results that is used, since their sizes are known only approximately. */
    private static final double USABLE_MEMORY_SHARE = 0.98;

    private final Deque<Result> results = new ArrayDeque<>();
    private final Set<String> pendingReleases = new LinkedHashSet<>();
    private UpstreamRecord announced;
    private int calls;
    private int losses;
    private long pausedUntil;
    private long busyUntil;
    private boolean paused;
    private double slowness = 1;

    /** Like the slowness, but relative to the stated duration: valid also when no pace is known. */
    private double slownessWithoutPace = 1;

    private boolean probing;
    private int slowProbes;
    private long nextProbeAt;
    private long resultBytes;
    private long releasedAt = Long.MIN_VALUE / 2;
    private boolean lastCallRanPieces;

    StageUpstream(UpstreamRecord announced) {
        this.announced = announced;
    }

    UpstreamRecord announced() {
        return announced;
    }

    UpstreamIncarnation incarnation() {
        return UpstreamIncarnation.of(announced);
    }

    void announced(UpstreamRecord newest) {
        announced = newest;
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

    /** Returns the ratio of actual to expected duration of its calls; 1 is as expected. */
    double slowness() {
        return slowness;
    }

    void onSent(long until) {
        calls++;
        busyUntil = until;
    }

    /** Returns the expected time until its call ends. */
    long busyNanos(long now) {
        return calls == 0 ? 0 : Math.max(0, busyUntil - now);
    }

    /**
     * Records the duration of a call.
     *
     * @param statedNanos   duration by the limits of the pool
     * @param expectedNanos duration at the pace that the upstream stated meanwhile
     * @param tookNanos     actual duration
     */
    void onAnswered(long statedNanos, long expectedNanos, long tookNanos) {
        calls--;
        slowness = average(slowness, (double) tookNanos / expectedNanos);
        slownessWithoutPace = average(slownessWithoutPace, (double) tookNanos / statedNanos);
        probing = false;
    }

    private double average(double before, double measured) {
        // The average of an upstream that was skipped for a while is outdated: a probe replaces it.
        return probing ? measured : before + SPEED_WEIGHT * (measured - before);
    }

    /** Records the end of a call that says nothing about the upstream. */
    void onInconclusiveEnd() {
        calls--;
        probing = false;
    }

    /** Marks the next call as a probe that shows whether the upstream is still slow. */
    void startProbe() {
        probing = true;
    }

    /**
     * Records after a call whether the upstream is slow, and delays the next probe if so.
     *
     * @return true if this has changed
     */
    boolean recordSpeed(boolean slow, long now) {
        boolean changed = slow != slowProbes > 0;
        nextProbeAt = now + (INITIAL_PROBE_DELAY_NANOS << Math.min(slowProbes, MAX_PROBE_DELAY_DOUBLINGS));
        slowProbes = slow ? slowProbes + 1 : 0;
        return changed;
    }

    /** Returns whether a slow upstream may get a probe to show that it has recovered. */
    boolean isProbeDue(long now) {
        return now - nextProbeAt >= 0;
    }

    /**
     * Returns the timeout of a call. Each consecutive loss lengthens it, so that an upstream that has turned slow
     * eventually answers in time and is known to be slow from then on. A stated pace may lengthen it but never
     * shortens it.
     *
     * @param statedNanos duration of the call by the limits of the pool
     * @param pace        pace that the upstream states
     */
    long timeoutNanos(long statedNanos, double pace) {
        int consecutive = Math.min(MAX_COUNTED_LOSSES, losses);
        double byPace = Math.max(1, slowness) * Math.min(MAX_TIMEOUT_PACE, pace);
        double factor = Math.max(1, Math.max(slownessWithoutPace, byPace));
        return (long) (statedNanos * TIMEOUT_FACTOR * factor * Math.pow(TIMEOUT_GROWTH, consecutive));
    }

    /** Records a lost call and pauses the upstream. */
    long onLost(long now) {
        calls--;
        probing = false;
        return backOff(now);
    }

    /** Pauses the upstream after a call that was lost or whose pieces mostly failed; returns the pause. */
    long backOff(long now) {
        long pause = Math.min(MAX_PAUSE_NANOS, INITIAL_PAUSE_NANOS << Math.min(losses, 3));
        losses++;
        pause(now, pause);
        return pause;
    }

    /** Records that a call produced results. */
    void recordSuccess() {
        losses = 0;
    }

    void onRefused(long now, long pauseNanos) {
        calls--;
        probing = false;
        pause(now, pauseNanos);
    }

    void pause(long now, long nanos) {
        paused = true;
        pausedUntil = now + nanos;
    }

    void addResult(WaitingGroup group, String handle, long bytes, long expiresAt) {
        results.addLast(new Result(group, handle, bytes, expiresAt));
        resultBytes += bytes;
    }

    /** Returns the results that were made for matching groups and are not released yet. */
    List<StageResult> resultsOf(Predicate<WaitingGroup> groups) {
        return results.stream()
                .filter(result -> groups.test(result.group()))
                .map(result -> new StageResult(result.handle(), incarnation()))
                .toList();
    }

    /** Returns whether a result was made here, by a call of this node, and is neither released nor expired. */
    boolean holds(String handle) {
        return results.stream().anyMatch(result -> result.handle().equals(handle));
    }

    long freeMemory(BatchLimits limits, long now) {
        while (!results.isEmpty() && now - results.peekFirst().expiresAt() >= 0) {
            resultBytes -= results.pollFirst().bytes();
        }
        return usableMemory(limits) - resultBytes;
    }

    /** Returns the memory for results of an upstream that holds none. */
    static long usableMemory(BatchLimits limits) {
        return (long) (limits.resultBytes() * USABLE_MEMORY_SHARE);
    }

    void addRelease(String handle) {
        pendingReleases.add(handle);
    }

    /** Returns whether a cold upstream may be sent releases again, or has none to be sent. */
    boolean mayReleaseWhileCold(long now) {
        return !hasPendingReleases() || now - releasedAt >= COLD_PAUSE_NANOS;
    }

    /** Records that it was sent a call that runs pieces. */
    void markWorked() {
        lastCallRanPieces = true;
    }

    /** Returns whether there are releases to send to it. */
    boolean hasPendingReleases() {
        return !pendingReleases.isEmpty();
    }

    /** Returns whether it must be sent releases before it gets another call. */
    boolean mustReleaseFirst() {
        return lastCallRanPieces && hasPendingReleases();
    }

    /** Takes the results to release now. */
    List<String> takePendingReleases(long now) {
        List<String> taken = List.copyOf(pendingReleases);
        pendingReleases.clear();
        releasedAt = taken.isEmpty() ? releasedAt : now;
        lastCallRanPieces &= taken.isEmpty();
        return taken;
    }

    /**
     * Records that the upstream has released results. Their memory counts as free only now: if it did so when the
     * release is sent, the next call could overtake the release on another connection and find the memory full.
     */
    void onReleased(List<String> handles) {
        Set<String> released = Set.copyOf(handles);
        results.removeIf(result -> {
            boolean isReleased = released.contains(result.handle());
            resultBytes -= isReleased ? result.bytes() : 0;
            return isReleased;
        });
    }

    private record Result(WaitingGroup group, String handle, long bytes, long expiresAt) {}
}
