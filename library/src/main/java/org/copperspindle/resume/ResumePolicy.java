package org.copperspindle.resume;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;

/**
 * Decides how streams are resumed that have lost their engine after events had reached the caller. By then the results
 * of their stages have been released, so that the stages run again, and the objective of the first event has passed.
 * Ordered by that objective, the stages come after those of all requests that can still be on time, and the next event
 * is late for most streams. The plan names the time that counts for the caller instead. A pure function of its
 * arguments.
 */
public final class ResumePolicy {

    /**
     * Longest pauses of the route after which an engine that sends nothing is given up. An engine that reads a long
     * prompt for another stream pauses for more than one of them and must not be given up. The silence and the
     * resumption after it must take less time than callers wait, see {@code RequestTimes}.
     */
    private static final int SILENT_EVENT_GAPS = 3;

    private final Predicate<Route> coordinated;

    /**
     * Creates the policy of a route table.
     *
     * @param coordinated returns whether the stages of a route belong to a coordinated pool group; evaluated for routes
     *     that have stages
     */
    public ResumePolicy(Predicate<Route> coordinated) {
        this.coordinated = coordinated;
    }

    /**
     * Plans the resumption of a stream.
     *
     * @param route       route of the stream
     * @param lastEventAt when the last event was relayed to the caller, monotonic time in nanoseconds
     * @return the plan; empty if streams of the route are not resumed by a plan
     */
    public Optional<ResumePlan> plan(Route route, long lastEventAt) {
        if (!appliesTo(route)) {
            return Optional.empty();
        }
        long onTimeUntil = lastEventAt + route.maxEventGap().toNanos();
        return Optional.of(new ResumePlan(lastEventAt, onTimeUntil));
    }

    /**
     * Returns how long an engine may send nothing in the middle of a stream before the stream is resumed elsewhere. A
     * suspended or partitioned engine does not close its connection.
     *
     * @param route route of the stream
     * @return nanoseconds; empty if streams of the route are not resumed by a plan
     */
    public OptionalLong maxSilenceNanos(Route route) {
        if (!appliesTo(route)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(SILENT_EVENT_GAPS * route.maxEventGap().toNanos());
    }

    /**
     * Returns how long an engine that resumes a stream may take to its first event before another one is tried: at
     * least the objective of the route, since it reads the whole prompt first.
     *
     * @param route route of the stream
     * @return nanoseconds; empty if streams of the route are not resumed by a plan
     */
    public OptionalLong maxFirstEventNanos(Route route) {
        OptionalLong silence = maxSilenceNanos(route);
        if (silence.isEmpty()) {
            return silence;
        }
        return OptionalLong.of(Math.max(silence.getAsLong(), route.objective().toNanos()));
    }

    private boolean appliesTo(Route route) {
        if (route.kind() != RouteKind.STREAM || !route.resumable()) {
            return false;
        }
        if (route.maxEventGap().isZero() || route.maxEventGap().isNegative()) {
            return false;
        }
        return route.stages().isEmpty() || coordinated.test(route);
    }
}
