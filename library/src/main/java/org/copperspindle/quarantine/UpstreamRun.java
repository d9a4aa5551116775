package org.copperspindle.quarantine;

import java.util.Optional;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * One run of a request at one upstream, with the suspicion level known when the request was sent. If the upstream
 * terminates, this distinguishes consecutive terminations from independent ones: terminations add up only if the
 * later run was started with knowledge of the earlier termination.
 */
public final class UpstreamRun {

    private final TrackedRequest request;
    private final UpstreamRecord upstream;
    private final long epoch;
    private final int levelBefore;
    private final Optional<UpstreamRun> previous;
    private final boolean sentAfterTermination;
    private boolean wasAlive = true;
    private int levelAfter;

    UpstreamRun(
            TrackedRequest request,
            UpstreamRecord upstream,
            long epoch,
            int levelBefore,
            Optional<UpstreamRun> previous,
            boolean sentAfterTermination) {
        this.request = request;
        this.upstream = upstream;
        this.epoch = epoch;
        this.levelBefore = levelBefore;
        this.previous = previous;
        this.sentAfterTermination = sentAfterTermination;
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

    /** Returns whether the upstream was known to have terminated when the request was sent. */
    boolean sentAfterTermination() {
        return sentAfterTermination;
    }

    /** Marks that there is no proof that the upstream was alive when the request was sent. */
    void markPossiblyTooLate() {
        wasAlive = false;
    }

    /**
     * Returns the level of the request after the termination of the upstream. A kept-alive connection that was lost
     * without a byte may have been dead before, so it can start a suspicion but never raise one.
     *
     * @param step increment for the termination
     */
    int levelAfter(int step) {
        return wasAlive ? levelBefore() + step : Math.max(levelBefore(), step);
    }

    long epoch() {
        return epoch;
    }

    /**
     * Returns the level of the request before this run. The previous run in the same attempt of the caller may have
     * been found to terminate its upstream only after this run was sent.
     */
    int levelBefore() {
        int previousLevel = previous.filter(run -> run.epoch == epoch)
                .map(run -> run.levelAfter)
                .orElse(0);
        return Math.max(levelBefore, previousLevel);
    }

    /** Records that the upstream terminated, and the resulting level of the request. */
    void terminated(int level) {
        levelAfter = level;
    }
}
