package org.copperspindle.quarantine;

import java.util.Optional;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * One run of a request at one upstream, with what was thought of the request when it was sent there. If the upstream ends, that
 * tells its end from one that came before it: ends count one after the other only where the next run was sent in knowledge
 * of the last.
 */
public final class UpstreamRun {

    private final TrackedRequest request;
    private final UpstreamRecord upstream;
    private final long epoch;
    private final int levelBefore;
    private final Optional<UpstreamRun> previous;
    private final boolean sentInVain;
    private boolean wasThere = true;
    private int levelAfter;

    UpstreamRun(
            TrackedRequest request,
            UpstreamRecord upstream,
            long epoch,
            int levelBefore,
            Optional<UpstreamRun> previous,
            boolean sentInVain) {
        this.request = request;
        this.upstream = upstream;
        this.epoch = epoch;
        this.levelBefore = levelBefore;
        this.previous = previous;
        this.sentInVain = sentInVain;
    }

    /**
     * Returns the upstream.
     *
     * @return as it was known when the request was sent there
     */
    public UpstreamRecord upstream() {
        return upstream;
    }

    /**
     * Returns the request.
     *
     * @return the request that runs
     */
    public TrackedRequest request() {
        return request;
    }

    UpstreamLife life() {
        return UpstreamLife.of(upstream);
    }

    /** Says whether the upstream was known to have ended when the request was sent there. */
    boolean sentInVain() {
        return sentInVain;
    }

    /** Notes that nothing shows that the upstream was still there when the request was sent. */
    void mayHaveComeTooLate() {
        wasThere = false;
    }

    /**
     * Returns the level that the request has by the end of the upstream. A kept connection that is lost without a byte may have been dead
     * before: this can begin a suspicion and never adds to one.
     *
     * @param step what the end adds
     */
    int levelAfter(int step) {
        return wasThere ? levelBefore() + step : Math.max(levelBefore(), step);
    }

    long epoch() {
        return epoch;
    }

    /**
     * Returns the level that the request had before this run. The run before it in the same attempt of the caller may have
     * been found to end its upstream only after this one was sent.
     */
    int levelBefore() {
        int ofPrevious = previous.filter(run -> run.epoch == epoch)
                .map(run -> run.levelAfter)
                .orElse(0);
        return Math.max(levelBefore, ofPrevious);
    }

    /** Notes that the upstream ended under it, and which level the request has by that. */
    void ended(int level) {
        levelAfter = level;
    }
}
