package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;

import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;

/**
 * The instants that matter to one request, on this node's monotonic clock in nanoseconds.
 *
 * @param beganAt     when it was admitted
 * @param objectiveAt until when an answer is worth most
 * @param endAt       when its time is over
 * @param patienceAt  until when a first event or the answer must have come: later, its caller has left, or leaves before the stream ends
 * @param returned    whether its caller was refused before and has come back
 */
record RequestTimes(long beganAt, long objectiveAt, long endAt, long patienceAt, boolean returned) {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Callers of streams leave after so many times the objective without an event. */
    private static final int OBJECTIVES = 4;

    /** Or after so many times the longest pause. */
    private static final int PAUSES = 8;

    /** But not before this. */
    private static final long SHORTEST_PATIENCE_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Works the instants out.
     *
     * @param route          route of the request
     * @param deadlineMillis how long the caller waits
     * @param waitedMillis   how long it has waited already, with earlier attempts
     * @param streamNanos    how long the stream will take after its first event; 0 if that is not known
     * @param now            monotonic time in nanoseconds
     */
    static RequestTimes of(Route route, OptionalLong deadlineMillis, long waitedMillis, long streamNanos, long now) {
        long timeout = route.timeout().toNanos();
        long time =
                deadlineMillis.isPresent() ? Math.min(timeout, deadlineMillis.getAsLong() * NANOS_PER_MILLI) : timeout;
        long objectiveAt = now + route.objective().toNanos() - waitedMillis * NANOS_PER_MILLI;
        long patience = Math.min(time - streamNanos, patienceNanos(route));
        return new RequestTimes(now, objectiveAt, now + time, now + patience, waitedMillis > 0);
    }

    private static long patienceNanos(Route route) {
        if (route.kind() != RouteKind.STREAM) {
            return Long.MAX_VALUE;
        }
        long longest = Math.max(
                OBJECTIVES * route.objective().toNanos(),
                PAUSES * route.maxEventGap().toNanos());
        return Math.max(SHORTEST_PATIENCE_NANOS, longest);
    }
}
