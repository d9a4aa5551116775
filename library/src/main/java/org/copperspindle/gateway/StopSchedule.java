package org.copperspindle.gateway;

import java.time.Duration;

/**
 * Times of a planned stop in nanoseconds of the monotonic clock.
 *
 * @param refuseAllAt    when requests that arrive are refused
 * @param refuseUnsentAt when requests that no upstream has received are refused
 * @param abortAt        when the remaining requests are aborted
 */
record StopSchedule(long refuseAllAt, long refuseUnsentAt, long abortAt) {

    /** A load balancer that probes every second stops sending new connections after two failed probes. */
    private static final Duration BALANCER_DETECTION_TIME = Duration.ofMillis(2600);

    /**
     * Share of the grace period after which requests that no upstream has received are refused: they need the rest of
     * the time at another node.
     */
    private static final double UNSENT_REFUSAL_SHARE = 0.6;

    /**
     * Time kept at the end of the grace period for the last responses to reach their callers and for connections to be
     * closed in order.
     */
    private static final Duration STOP_RESERVE = Duration.ofMillis(450);

    /** The reserve takes no more than this share of a short grace period. */
    private static final double MAX_RESERVE_SHARE = 0.25;

    /**
     * Plans a stop.
     *
     * @param now       monotonic time in nanoseconds at which it begins
     * @param stopGrace time until the process is killed
     */
    static StopSchedule of(long now, Duration stopGrace) {
        long grace = stopGrace.toNanos();
        long unsent = (long) (grace * UNSENT_REFUSAL_SHARE);
        long reserve = Math.min(STOP_RESERVE.toNanos(), (long) (grace * MAX_RESERVE_SHARE));
        long all = Math.min(BALANCER_DETECTION_TIME.toNanos(), unsent);
        return new StopSchedule(now + all, now + unsent, now + grace - reserve);
    }
}
