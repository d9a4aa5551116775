package org.copperspindle.gateway;

import java.util.Optional;

/**
 * Decides which requests a node sends to upstreams while it stops. A request that is refused has not run and can go to
 * another node, but its caller repeats it only once or a few times, and other nodes may be busy. A request that is
 * aborted at the end of the stop has cost its upstream work and may not be repeated unless it is idempotent.
 */
final class StopAdmission {

    /**
     * Maximum risk at which a request that may not be repeated is sent. An aborted one is lost for its caller; a refused
     * one costs its caller one of few attempts, but may be served elsewhere.
     */
    static final double MAX_RISK_ONCE = 0.5;

    /**
     * Maximum risk at which a request that may be repeated is sent. An aborted one can go on elsewhere as a refused one
     * can, so that only its work and time are lost.
     */
    static final double MAX_RISK_REPEATABLE = 0.9;

    private final RecentDurations durations = new RecentDurations();
    private Optional<StopSchedule> schedule = Optional.empty();

    /** Begins a stop. */
    void begin(StopSchedule stop) {
        schedule = Optional.of(stop);
    }

    /**
     * Records a request that an upstream has worked on to its end.
     *
     * @param route name of its route
     * @param nanos time from its first sending to its end in nanoseconds
     * @param now   monotonic time in nanoseconds
     */
    void observe(String route, long nanos, long now) {
        durations.observe(route, nanos, now);
    }

    /**
     * Returns whether a request that no upstream has received may be sent now.
     *
     * @param route      name of its route
     * @param repeatable whether it may run more than once
     * @param deadlineAt when its time is over, in nanoseconds of the monotonic clock
     * @param now        monotonic time in nanoseconds
     */
    boolean maySend(String route, boolean repeatable, long deadlineAt, long now) {
        return schedule.map(stop -> maySend(stop, route, repeatable, deadlineAt, now))
                .orElse(true);
    }

    private boolean maySend(StopSchedule stop, String route, boolean repeatable, long deadlineAt, long now) {
        if (now - stop.refuseUnsentAt() >= 0) {
            return false;
        }
        long left = stop.abortAt() - now;
        double maxRisk = repeatable ? MAX_RISK_REPEATABLE : MAX_RISK_ONCE;
        return deadlineAt - now <= left || durations.shareLongerThan(route, left, now) <= maxRisk;
    }
}
