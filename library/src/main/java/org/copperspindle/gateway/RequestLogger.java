package org.copperspindle.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.admission.StageAdmissionDecision;
import org.copperspindle.admission.StageAdmissionVerdict;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineEstimate;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.origin.OriginCounters;
import org.copperspindle.origin.OriginResult;
import org.copperspindle.placement.PlacementReason;

/**
 * Writes the log lines of one request: what was decided, on which values, and how it ended.
 */
final class RequestLogger {

    private static final Logger LOGGER = LogManager.getLogger(RequestLogger.class);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Bounds the line of a request whose prompt has hundreds of parts. */
    private static final int MAX_LOGGED_PARTS = 8;

    private static final Pattern PRINTABLE = Pattern.compile("[!-~]{1,64}");

    private final LogRateLimiter log;
    private final UpstreamTracker tracker;
    private final AdmittedRequest admitted;
    private final String id;
    private final long admittedAt;

    /**
     * Creates the logger of a request.
     *
     * @param log      bounds the number of lines
     * @param tracker  counts the calls in flight to upstreams
     * @param admitted the request
     */
    RequestLogger(LogRateLimiter log, UpstreamTracker tracker, AdmittedRequest admitted) {
        this.log = log;
        this.tracker = tracker;
        this.admitted = admitted;
        this.id = admitted.request().id();
        this.admittedAt = admitted.times().admittedAt();
    }

    /** Logs that the request was admitted. */
    void admitted() {
        if (!log.allowsServed(admittedAt)) {
            return;
        }
        GatewayRequest request = admitted.request();
        LOGGER.info(
                "event=request-admitted request={} route={} account={} pool={} version={} rank={} time_ms={} pieces={}"
                        + " prompt_tokens={} shared_tokens={} resume_after={} resumes={}",
                id,
                admitted.route().name(),
                admitted.accountName(),
                admitted.pool(),
                admitted.table().version(),
                admitted.rank(),
                (admitted.times().deadlineAt() - admittedAt) / NANOS_PER_MILLI,
                request.pieces(),
                request.promptTokens(),
                request.sharedTokens(),
                printable(request.resumePoint().map(ResumePoint::lastEventId)),
                printable(request.resumePoint().flatMap(ResumePoint::firstRequest)));
    }

    /**
     * Logs that the stages of the request start, or that it is deferred or refused.
     *
     * @param decision    decision of the stage admission
     * @param wasDeferred true if it was deferred before; no line is written while it stays deferred
     * @param now         monotonic time in nanoseconds
     */
    void stageDecision(StageAdmissionDecision decision, boolean wasDeferred, long now) {
        boolean starts = decision.verdict() == StageAdmissionVerdict.BEGIN;
        boolean stillDeferred = wasDeferred && decision.verdict() == StageAdmissionVerdict.HOLD;
        if (stillDeferred || !isLogged(!starts || wasDeferred, now)) {
            return;
        }
        LOGGER.info(
                "event=gate-{} request={} finish_ms={} left_ms={} held={} rank={} in_need={} decided_by=node",
                decision.verdict().name().toLowerCase(Locale.ROOT),
                id,
                decision.estimatedMillis(),
                decision.remainingMillis(),
                decision.deferredCount(),
                admitted.rank(),
                decision.underservedRoute().orElse(""));
    }

    /**
     * Logs that the controller was asked and has not decided at once.
     *
     * @param startId id of the start request, as in the controller's log
     * @param now     monotonic time in nanoseconds
     */
    void startAsked(long startId, long now) {
        if (log.allowsServed(now)) {
            LOGGER.info(
                    "event=gate-hold request={} left_ms={} rank={} start_id={} decided_by=controller",
                    id,
                    leftMillis(now),
                    admitted.rank(),
                    startId);
        }
    }

    /**
     * Logs the decision of the controller.
     *
     * @param startId id of the start request, as in the controller's log
     * @param starts  true if the stages start, false if the request is refused
     * @param askedAt when the controller was asked, monotonic time in nanoseconds
     * @param now     monotonic time in nanoseconds
     */
    void startDecided(long startId, boolean starts, long askedAt, long now) {
        if (isLogged(!starts, now)) {
            LOGGER.info(
                    "event=gate-{} request={} left_ms={} waited_ms={} rank={} start_id={} decided_by=controller",
                    starts ? "begin" : "refuse",
                    id,
                    leftMillis(now),
                    (now - askedAt) / NANOS_PER_MILLI,
                    admitted.rank(),
                    startId);
        }
    }

    /**
     * Logs what is known of the version that began the stream which the caller takes up.
     *
     * @param result    the result
     * @param tookNanos how long the nodes were asked
     */
    void originFound(OriginResult result, long tookNanos) {
        if (isLogged(result instanceof OriginResult.Unknown, admittedAt + tookNanos)) {
            LOGGER.info(
                    "event=stream-origin request={} result={} software={} took_ms={}",
                    id,
                    OriginCounters.label(result),
                    software(result),
                    tookNanos / NANOS_PER_MILLI);
        }
    }

    private static String software(OriginResult result) {
        if (result instanceof OriginResult.Recorded known) {
            return known.origin().software().text();
        }
        return result instanceof OriginResult.OnlyVersion only ? only.software().text() : "";
    }

    private long leftMillis(long now) {
        return (admitted.objectiveAt() - now) / NANOS_PER_MILLI;
    }

    /**
     * Logs that an attempt was sent.
     *
     * @param number      number of the attempt, from 1
     * @param upstream    target of the attempt
     * @param resumeAfter id of the event after which the stream resumes
     * @param estimates   returns the estimate for the engine, called only if the line is logged; empty for other
     *     upstreams and while loads are not known
     * @param placement   why the engine was chosen; empty if it was not chosen by the loads of the engines
     * @param now         monotonic time in nanoseconds
     */
    void attemptSent(
            int number,
            UpstreamRecord upstream,
            Optional<String> resumeAfter,
            Supplier<Optional<EngineEstimate>> estimates,
            Optional<PlacementReason> placement,
            long now) {
        if (!log.allowsServed(now)) {
            return;
        }
        Optional<EngineEstimate> estimate = estimates.get();
        LOGGER.info(
                "event=attempt-sent request={} attempt={} upstream={} software={} in_flight={} waited_ms={} resume_after={}"
                        + " estimate_ms={} pace={} waiting_tokens={} streams={} placement={}",
                id,
                number,
                upstream.id(),
                upstream.software().text(),
                tracker.inFlight(upstream.id()),
                (now - admittedAt) / NANOS_PER_MILLI,
                printable(resumeAfter),
                text(estimate, e -> e.firstEventNanos() / NANOS_PER_MILLI),
                text(estimate, EngineEstimate::pace),
                text(estimate, EngineEstimate::waitingTokens),
                text(estimate, EngineEstimate::streams),
                text(placement, PlacementReason::label));
    }

    /**
     * Logs that the caller of an interrupted stream receives events again.
     *
     * @param sinceLastEventNanos time since the last event of the engine that was lost
     * @param stagesNanos         how much of it the stages took
     * @param inTime              whether that is within the longest pause of the route
     * @param now                 monotonic time in nanoseconds
     */
    void resumed(long sinceLastEventNanos, long stagesNanos, boolean inTime, long now) {
        if (isLogged(!inTime, now)) {
            LOGGER.info(
                    "event=stream-resumed request={} since_last_event_ms={} stages_ms={} in_time={}",
                    id,
                    sinceLastEventNanos / NANOS_PER_MILLI,
                    stagesNanos / NANOS_PER_MILLI,
                    inTime);
        }
    }

    /**
     * Logs the end of the request.
     *
     * @param outcome  how it ended
     * @param failed   true unless it was served or its caller left
     * @param progress the attempts and stage runs of the request
     * @param relay    what was relayed to the caller
     * @param now      monotonic time in nanoseconds
     */
    void ended(String outcome, boolean failed, RequestProgress progress, EventStreamRelay relay, long now) {
        if (!isLogged(failed, now)) {
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
                relay.eventCount(),
                firstEventMillis(relay.firstEventAt()),
                relay.longestPauseNanos() / NANOS_PER_MILLI,
                (now - admittedAt) / NANOS_PER_MILLI,
                admitted.route().objective().toMillis(),
                progress.mayHaveRun());
    }

    private boolean isLogged(boolean failed, long now) {
        return failed ? log.allowsFailed(now) : log.allowsServed(now);
    }

    /**
     * Returns the shared parts of a prompt as one word of bounded length.
     *
     * @param request the request
     * @return the first ids, separated by commas
     */
    static String sharedParts(GatewayRequest request) {
        return request.sharedParts().stream()
                .limit(MAX_LOGGED_PARTS)
                .map(id -> printable(Optional.of(id)))
                .collect(Collectors.joining(","));
    }

    /** Returns a caller's text as one word of bounded length. */
    private static String printable(Optional<String> text) {
        return text.map(t -> PRINTABLE.matcher(t).matches() ? t : "unprintable").orElse("");
    }

    private static <T> String text(Optional<T> source, Function<T, Object> value) {
        return source.map(value).map(Object::toString).orElse("");
    }

    private String firstEventMillis(OptionalLong at) {
        return at.isEmpty() ? "" : Long.toString((at.getAsLong() - admittedAt) / NANOS_PER_MILLI);
    }
}
