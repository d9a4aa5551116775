package org.copperspindle.claims;

import org.copperspindle.time.TimerService;

/**
 * Time of the log: the total time that leaders have been leading, measured by each leader on its own monotonic clock
 * from the time of the last applied command. With wall clocks, a leader whose clock jumps ahead would expire all
 * claims at once and let old keys run again. This time can only lag behind real time, because it stops while there is
 * no leader.
 */
public final class LogClock {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TimerService timers;
    private long term = -1;
    private long baseMillis;
    private long baseNanos;

    /**
     * Creates a clock.
     *
     * @param timers monotonic time of this member
     */
    public LogClock(TimerService timers) {
        this.timers = timers;
    }

    /**
     * Returns the time stamp of the leader's next command.
     *
     * @param currentTerm term in which this member leads
     * @param logMillis   time of the newest applied command of the log
     * @return time of the next command in milliseconds; never decreases within a term
     */
    public long stamp(long currentTerm, long logMillis) {
        if (currentTerm != term) {
            term = currentTerm;
            baseMillis = logMillis;
            baseNanos = timers.nanoTime();
        }
        return baseMillis + (timers.nanoTime() - baseNanos) / NANOS_PER_MILLI;
    }
}
