package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;

import org.copperspindle.resume.ResumePlan;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;

/**
 * Start, objective and deadlines of one request, on this node's monotonic clock in nanoseconds.
 *
 * @param admittedAt      when it was admitted
 * @param objectiveAt     latency objective of the next event: of the first one, or of the one after an interruption
 * @param deadlineAt      when its time is over
 * @param callerTimeoutAt latest time for that event or the response; after that the caller has left, or leaves before
 *     the stream ends
 * @param retried         whether the caller was refused before and has come back
 * @param resumed         whether events have reached the caller and the stream has lost its engine
 */
record RequestTimes(
        long admittedAt, long objectiveAt, long deadlineAt, long callerTimeoutAt, boolean retried, boolean resumed) {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Callers of streams leave after this multiple of the objective without an event. */
    private static final int CALLER_TIMEOUT_OBJECTIVES = 4;

    /**
     * They wait for at least this multiple of the longest event gap of the route. The silence after which an engine is
     * given up and the time to resume its stream must fit in (ResumePolicy.SILENT_EVENT_GAPS).
     */
    private static final int CALLER_TIMEOUT_EVENT_GAPS = 8;

    /** Expected share of a stream that its caller has not received when it takes the stream up. */
    private static final double LEFT_OF_TAKEN_UP_STREAM = 0.5;

    /** Shortest time after which callers of streams leave. */
    private static final long MIN_CALLER_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Computes the times of a request.
     *
     * @param route          route of the request
     * @param deadlineMillis how long the caller waits
     * @param waitedMillis   how long it has already waited, with earlier attempts
     * @param streamNanos    expected duration of the stream after its first event; 0 if unknown
     * @param now            monotonic time in nanoseconds
     */
    static RequestTimes of(Route route, OptionalLong deadlineMillis, long waitedMillis, long streamNanos, long now) {
        long timeout = route.timeout().toNanos();
        long time =
                deadlineMillis.isPresent() ? Math.min(timeout, deadlineMillis.getAsLong() * NANOS_PER_MILLI) : timeout;
        long objectiveAt = now + route.objective().toNanos() - waitedMillis * NANOS_PER_MILLI;
        long callerTimeNanos = Math.min(time - streamNanos, callerTimeoutNanos(route));
        return new RequestTimes(now, objectiveAt, now + time, now + callerTimeNanos, waitedMillis > 0, false);
    }

    /**
     * Computes the times of a request, which may take up a stream.
     *
     * @param route        route of the request
     * @param request      the request
     * @param waitedMillis how long its caller has already waited, with earlier attempts, unless it takes up a stream
     * @param streamNanos  expected duration of a whole stream after its first event; 0 if unknown
     * @param now          monotonic time in nanoseconds
     */
    static RequestTimes of(Route route, GatewayRequest request, long waitedMillis, long streamNanos, long now) {
        boolean takenUp =
                route.kind() == RouteKind.STREAM && request.resumePoint().isPresent();
        return takenUp
                ? takenUp(route, request.deadlineMillis(), streamNanos, now)
                : of(route, request.deadlineMillis(), waitedMillis, streamNanos, now);
    }

    /**
     * Computes the times of a request that takes up a stream. Its caller has not waited for a first event since its first
     * attempt: it has read the stream in between. So its objective counts from now, like that of a request that begins a
     * stream, and among those it counts as one that has come back.
     */
    private static RequestTimes takenUp(Route route, OptionalLong deadlineMillis, long streamNanos, long now) {
        long leftNanos = (long) (streamNanos * LEFT_OF_TAKEN_UP_STREAM);
        RequestTimes begun = of(route, deadlineMillis, 0, leftNanos, now);
        return new RequestTimes(now, begun.objectiveAt, begun.deadlineAt, begun.callerTimeoutAt, true, false);
    }

    /**
     * Returns the times of the same request while its stream is interrupted. The caller has received the first event,
     * so the latest time for that one does not end the work on the next.
     *
     * @param route route of the request
     * @param plan  how the stream is resumed
     */
    RequestTimes resumed(Route route, ResumePlan plan) {
        long patienceNanos = Math.min(deadlineAt - plan.lastEventAt(), callerTimeoutNanos(route));
        return new RequestTimes(
                admittedAt, plan.onTimeUntil(), deadlineAt, plan.lastEventAt() + patienceNanos, retried, true);
    }

    private static long callerTimeoutNanos(Route route) {
        if (route.kind() != RouteKind.STREAM) {
            return Long.MAX_VALUE;
        }
        long longest = Math.max(
                CALLER_TIMEOUT_OBJECTIVES * route.objective().toNanos(),
                CALLER_TIMEOUT_EVENT_GAPS * route.maxEventGap().toNanos());
        return Math.max(MIN_CALLER_TIMEOUT_NANOS, longest);
    }
}
