package org.copperspindle.time;

import java.util.function.LongSupplier;

/**
 * Detects that this process's VM was suspended. The monotonic clock stops during a suspension while the time of day
 * jumps ahead, so a lease measured with the monotonic clock would seem valid for too long. A clock step of the time
 * of day looks the same; it only ends a lease early, which is harmless.
 */
public final class SuspensionDetector {

    /**
     * Largest difference that doesn't count as a suspension. Far above the difference between two clock readings in
     * one process, well below any lease.
     */
    private static final long MAX_DIFFERENCE_NANOS = 250_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier monotonicNanos;
    private final LongSupplier timeOfDayMillis;
    private long offset;

    /**
     * Creates a detector that uses the system clocks.
     */
    public SuspensionDetector() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /**
     * Creates a detector that uses the given clocks.
     *
     * @param monotonicNanos  monotonic time in nanoseconds
     * @param timeOfDayMillis time of day in milliseconds
     */
    public SuspensionDetector(LongSupplier monotonicNanos, LongSupplier timeOfDayMillis) {
        this.monotonicNanos = monotonicNanos;
        this.timeOfDayMillis = timeOfDayMillis;
        this.offset = offset();
    }

    /**
     * Compares how far the two clocks have advanced since the last call.
     *
     * @return true if the VM seems to have been suspended since the last call
     */
    public boolean detectSuspension() {
        long now = offset();
        long jumpNanos = now - offset;
        offset = now;
        return jumpNanos > MAX_DIFFERENCE_NANOS;
    }

    private long offset() {
        return timeOfDayMillis.getAsLong() * NANOS_PER_MILLI - monotonicNanos.getAsLong();
    }
}
