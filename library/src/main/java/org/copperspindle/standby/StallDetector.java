package org.copperspindle.standby;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects that this process stood still, either because it was not scheduled, which the monotonic clock shows, or
 * because its VM was suspended, during which the monotonic clock may stand still while the time of day goes on.
 */
public final class StallDetector {

    private final LongSupplier clock;
    private final LongSupplier timeOfDayMillis;
    private long checkedAt;
    private long checkedAtMillis;
    private long lastStallNanos;

    /**
     * Creates a detector. It must be checked at least once in every heartbeat interval.
     *
     * @param clock           monotonic time in nanoseconds
     * @param timeOfDayMillis time of day in milliseconds
     */
    public StallDetector(LongSupplier clock, LongSupplier timeOfDayMillis) {
        this.clock = clock;
        this.timeOfDayMillis = timeOfDayMillis;
        this.checkedAt = clock.getAsLong();
        this.checkedAtMillis = timeOfDayMillis.getAsLong();
    }

    /**
     * Compares the clocks with the previous check.
     *
     * @return true if the process stood still since then
     */
    boolean check() {
        long now = clock.getAsLong();
        long nowMillis = timeOfDayMillis.getAsLong();
        long elapsed = Math.max(now - checkedAt, TimeUnit.MILLISECONDS.toNanos(nowMillis - checkedAtMillis));
        checkedAt = now;
        checkedAtMillis = nowMillis;
        if (elapsed < StandbyTimes.MIN_STALL_NANOS) {
            return false;
        }
        lastStallNanos = elapsed;
        return true;
    }

    /** Returns the time between the two checks around the last stall, 0 if there was none. */
    long lastStallNanos() {
        return lastStallNanos;
    }
}
