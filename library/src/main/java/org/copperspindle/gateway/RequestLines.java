package org.copperspindle.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;

/**
 * The log lines of one request: what was decided, by what, and how it ended.
 */
final class RequestLines {

    private static final Logger LOGGER = LogManager.getLogger(RequestLines.class);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final DecisionLog log;
    private final UpstreamTracker tracker;
    private final AdmittedRequest admitted;
    private final String id;
    private final long beganAt;

    /**
     * Creates the lines of a request.
     *
     * @param log      bounds how many lines are written
     * @param tracker  what is under way at upstreams
     * @param admitted the request
     */
    RequestLines(DecisionLog log, UpstreamTracker tracker, AdmittedRequest admitted) {
        this.log = log;
        this.tracker = tracker;
        this.admitted = admitted;
        this.id = admitted.request().id();
        this.beganAt = admitted.times().beganAt();
    }

    /** The request was admitted. */
    void admitted() {
        if (!log.takesServed(beganAt)) {
            return;
        }
        GatewayRequest request = admitted.request();
        LOGGER.info(
                "event=request-admitted request={} route={} account={} pool={} version={} rank={} time_ms={} pieces={}"
                        + " prompt_tokens={} shared_tokens={}",
                id,
                admitted.route().name(),
                admitted.accountName(),
                admitted.pool(),
                admitted.table().version(),
                admitted.rank(),
                (admitted.times().endAt() - beganAt) / NANOS_PER_MILLI,
                request.pieces(),
                request.promptTokens(),
                request.sharedTokens());
    }

    /**
     * The request begins, begins to be held, or is refused.
     *
     * @param judgement what the gate says
     * @param held      true if it was held before; that it is held on leaves no line
     * @param now       monotonic time in nanoseconds
     */
    void gate(StageAdmissionDecision judgement, boolean held, long now) {
        boolean begins = judgement.verdict() == StageAdmissionVerdict.BEGIN;
        boolean stillHeld = held && judgement.verdict() == StageAdmissionVerdict.HOLD;
        if (stillHeld || !takes(!begins || held, now)) {
            return;
        }
        LOGGER.info(
                "event=gate-{} request={} finish_ms={} left_ms={} held={} rank={} in_need={}",
                judgement.verdict().name().toLowerCase(Locale.ROOT),
                id,
                judgement.finishMillis(),
                judgement.leftMillis(),
                judgement.held(),
                admitted.rank(),
                judgement.inNeed().orElse(""));
    }

    /**
     * An attempt goes out.
     *
     * @param number      1 for the first
     * @param upstream    where to
     * @param resumeAfter id of the event after which it goes on
     * @param now         monotonic time in nanoseconds
     */
    void attemptSent(int number, UpstreamRecord upstream, Optional<String> resumeAfter, long now) {
        if (!log.takesServed(now)) {
            return;
        }
        LOGGER.info(
                "event=attempt-sent request={} attempt={} upstream={} in_flight={} waited_ms={} resume_after={}",
                id,
                number,
                upstream.id(),
                tracker.inFlight(upstream.id()),
                (now - beganAt) / NANOS_PER_MILLI,
                resumeAfter.orElse(""));
    }

    /**
     * The request has ended.
     *
     * @param outcome  in which way
     * @param failed   true unless it was served or its caller left
     * @param progress what was done for it
     * @param relay    what its caller got
     * @param now      monotonic time in nanoseconds
     */
    void ended(String outcome, boolean failed, RequestProgress progress, AnswerRelay relay, long now) {
        if (!takes(failed, now)) {
            return;
        }
        LOGGER.info(
                "event=request-ended request={} outcome={} route={} attempts={} unsent={} stage_runs={} events={}"
                        + " first_event_ms={} longest_pause_ms={} took_ms={} objective_ms={} may_have_run={}",
                id,
                outcome,
                admitted.route().name(),
                progress.attempts(),
                progress.unsent(),
                progress.stageRuns(),
                relay.events(),
                firstEventMillis(relay.firstAt()),
                relay.longestPauseNanos() / NANOS_PER_MILLI,
                (now - beganAt) / NANOS_PER_MILLI,
                admitted.route().objective().toMillis(),
                progress.mayHaveRun());
    }

    private boolean takes(boolean failed, long now) {
        return failed ? log.takesFailed(now) : log.takesServed(now);
    }

    private String firstEventMillis(OptionalLong at) {
        return at.isEmpty() ? "" : Long.toString((at.getAsLong() - beganAt) / NANOS_PER_MILLI);
    }
}
