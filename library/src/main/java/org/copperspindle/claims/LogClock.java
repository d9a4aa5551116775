package org.copperspindle.claims;

import org.copperspindle.time.TimerService;

/**
 * Time of the log: the time that leaders have spent leading, counted by each on its own monotonic clock from where the
 * log stood. Safeguard: with wall clocks, a leader whose clock jumps ahead would end all claims at once and let old keys
 * run again. Enough, because this time can only lag behind real time: it stands still without a leader.
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
     * @param timers this member's monotonic time
     */
    public LogClock(TimerService timers) {
        this.timers = timers;
    }

    /**
     * Stamps a command of the leader.
     *
     * @param currentTerm term that this member leads in
     * @param logMillis   time of the log's newest applied command
     * @return time for the next command, in milliseconds; within a term it never goes back
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
