package org.copperspindle.standby;

import java.time.Duration;

/**
 * Intervals between the messages of dispatchers and standbys, and the times that follow from them.
 */
public final class StandbyTimes {

    /** Interval between checks for silence; it delays a takeover by less than a tenth of the silence. */
    static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** Checks per heartbeat: three heartbeats are sent within the tolerated silence. */
    static final int CHECKS_PER_HEARTBEAT = 4;

    /** Interval between heartbeats, and between announcements of a takeover. */
    static final long HEARTBEAT_INTERVAL_NANOS = CHECKS_PER_HEARTBEAT * CHECK_INTERVAL_NANOS;

    /** Time in which an announcement of a takeover arrives although one was missed. */
    public static final long ANNOUNCEMENT_WAIT_NANOS = 2 * HEARTBEAT_INTERVAL_NANOS;

    /**
     * Shortest stall after which a standby may have taken over: it measures the silence from the last heartbeat, which
     * may have been sent an interval before the stall, and the stall is noticed up to a check later than it began.
     */
    static final long MIN_STALL_NANOS = TakeoverPolicy.SILENCE_NANOS - HEARTBEAT_INTERVAL_NANOS - CHECK_INTERVAL_NANOS;

    /**
     * Shortest stall of a standby that ends its takeovers: its last announcement may be an interval older than the
     * stall, and other nodes return to the dispatcher when the validity of that announcement ends.
     */
    static final long MAX_CONTINUED_STALL_NANOS = ActingDispatchers.VALIDITY_NANOS - HEARTBEAT_INTERVAL_NANOS;

    private StandbyTimes() {}
}
