package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.quarantine.TrackedRequest;
import org.copperspindle.quarantine.UpstreamRun;

/**
 * What the quarantine says of one request.
 */
final class QuarantineGuard {

    private final RequestQuarantine quarantine;
    private final TrackedRequest tracked;

    /**
     * Creates the guard of a request.
     *
     * @param quarantine the quarantine of the node
     * @param tracked    the request
     */
    QuarantineGuard(RequestQuarantine quarantine, TrackedRequest tracked) {
        this.quarantine = quarantine;
        this.tracked = tracked;
    }

    /** Returns whether the request may be sent to no upstream. */
    boolean isQuarantined() {
        return quarantine.isQuarantined(tracked);
    }

    /** Returns whether the request may be sent to an upstream. */
    boolean permits(UpstreamRecord upstream) {
        return quarantine.permits(tracked, upstream);
    }

    /**
     * Returns whether the request must be ended because it has become quarantined.
     *
     * @param attempt attempt in progress; empty while none is
     * @param lastRun run of the last attempt
     */
    boolean mustEnd(Optional<UpstreamAttempt> attempt, Optional<UpstreamRun> lastRun) {
        if (attempt.isEmpty()) {
            return isQuarantined();
        }
        // An upstream that has sent an event survives the request.
        return !attempt.get().hasRelayed()
                && lastRun.filter(run -> quarantine.mustTakeBack(tracked, run.upstream()))
                        .isPresent();
    }

    /** Returns whether an upstream terminated under the request or a part of its prompt. */
    boolean isSuspected() {
        return quarantine.isSuspected(tracked);
    }

    /** Records that the request is sent. */
    UpstreamRun startRun(UpstreamRecord upstream, Optional<UpstreamRun> previous) {
        return quarantine.startRun(tracked, upstream, previous);
    }

    /**
     * Returns the refusal of the request while it is quarantined.
     *
     * @param mayHaveRun whether this attempt of the caller reached an upstream
     */
    Refusal refusal(boolean mayHaveRun) {
        Optional<Duration> partQuarantine = quarantine.partQuarantine(tracked);
        return partQuarantine.isPresent()
                ? Refusal.partCrashesUpstreams(mayHaveRun, partQuarantine.get())
                : Refusal.crashesUpstreams(mayHaveRun);
    }
}
