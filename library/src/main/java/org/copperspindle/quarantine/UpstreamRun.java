package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * One run of a request at one upstream, with the suspicions known when the request was sent. If the upstream
 * terminates, this distinguishes consecutive terminations from independent ones: terminations add up only if the
 * later run was started with knowledge of the earlier termination.
 */
public final class UpstreamRun {

    private final TrackedRequest request;
    private final UpstreamRecord upstream;
    private final Map<SuspectDigest, Suspicion> known;
    private final Optional<UpstreamRun> previous;
    private final boolean sentAfterTermination;
    private final Map<SuspectDigest, Integer> levelsAfter = new HashMap<>();
    private final long sentAt;
    private boolean wasAlive = true;
    private long durationNanos;
    private boolean hasProgressed;
    private long firstEventAt;
    private long lastEventAt;

    UpstreamRun(
            TrackedRequest request,
            UpstreamRecord upstream,
            Map<SuspectDigest, Suspicion> known,
            Optional<UpstreamRun> previous,
            boolean sentAfterTermination,
            long sentAt) {
        this.request = request;
        this.upstream = upstream;
        this.known = Map.copyOf(known);
        this.previous = previous;
        this.sentAfterTermination = sentAfterTermination;
        this.sentAt = sentAt;
    }

    /**
     * Returns the upstream.
     *
     * @return the upstream as it was known when the request was sent
     */
    public UpstreamRecord upstream() {
        return upstream;
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    public TrackedRequest request() {
        return request;
    }

    UpstreamIncarnation incarnation() {
        return UpstreamIncarnation.of(upstream);
    }

    /** Returns the software version of the upstream as text. */
    String software() {
        return upstream.software().text();
    }

    /** Returns whether the upstream was known to have terminated when the request was sent. */
    boolean sentAfterTermination() {
        return sentAfterTermination;
    }

    /** Marks that there is no proof that the upstream was alive when the request was sent. */
    void markPossiblyTooLate() {
        wasAlive = false;
    }

    /** Returns whether the upstream was alive when the request was sent. */
    boolean wasAlive() {
        return wasAlive;
    }

    /** Records that the connection was lost. */
    void lost(long now) {
        durationNanos = now - sentAt;
    }

    /** Returns the time from sending the request to the loss of the connection. */
    long durationMillis() {
        return Duration.ofNanos(durationNanos).toMillis();
    }

    /** Records an event of the response; returns whether it is the first one. */
    boolean recordEvent(long now) {
        boolean isFirst = !hasProgressed;
        if (isFirst) {
            hasProgressed = true;
            firstEventAt = now;
        }
        lastEventAt = now;
        return isFirst;
    }

    /** Returns the time from the first event of the response to the last one. */
    long progressMillis() {
        return Duration.ofNanos(lastEventAt - firstEventAt).toMillis();
    }

    /**
     * Returns the level of a suspect after the termination of the upstream. A kept-alive connection that was lost
     * without a byte may have been dead before, so it can start a suspicion but never raise one.
     *
     * @param suspect the request, or a part of its prompt
     * @param step    increment for the termination
     */
    int levelAfter(SuspectDigest suspect, int step) {
        return wasAlive ? levelBefore(suspect) + step : levelWithoutRaise(suspect, step);
    }

    /**
     * Returns the level of a suspect after the termination of the upstream if it cannot be attributed to this run: it
     * can start a suspicion but never raise one.
     *
     * @param suspect the request, or a part of its prompt
     * @param step    increment for the termination
     */
    int levelWithoutRaise(SuspectDigest suspect, int step) {
        return Math.max(levelBefore(suspect), step);
    }

    long epoch(SuspectDigest suspect) {
        return Optional.ofNullable(known.get(suspect)).map(Suspicion::epoch).orElse(0L);
    }

    /**
     * Returns the level of a suspect before this run. The previous run in the same attempt of the caller may have
     * been found to terminate its upstream only after this run was sent.
     */
    int levelBefore(SuspectDigest suspect) {
        int previousLevel = previous.filter(run -> run.epoch(suspect) == epoch(suspect))
                .map(run -> run.levelsAfter.getOrDefault(suspect, 0))
                .orElse(0);
        int knownLevel =
                Optional.ofNullable(known.get(suspect)).map(Suspicion::level).orElse(0);
        return Math.max(knownLevel, previousLevel);
    }

    /** Records that the upstream terminated, and the resulting level of a suspect. */
    void terminated(SuspectDigest suspect, int level) {
        levelsAfter.put(suspect, level);
    }
}
