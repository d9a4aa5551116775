package org.copperspindle.time;

import java.util.function.LongSupplier;

/**
 * Finds out that this process's VM was suspended. The monotonic clock stands still meanwhile, so that a lease counted on
 * it would seem to run on; the time of day jumps ahead. A step of the time of day looks the same and costs an early end
 * of a lease, which is harmless.
 */
public final class SuspensionWatch {

    /** Far above the disagreement of two clock readings in one process, well below any lease; nanoseconds. */
    private static final long TOLERATED_NANOS = 250_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier monotonicNanos;
    private final LongSupplier dayMillis;
    private long offset;

    /**
     * Creates a watch on the system's clocks.
     */
    public SuspensionWatch() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /**
     * Creates a watch on given clocks.
     *
     * @param monotonicNanos monotonic time in nanoseconds
     * @param dayMillis      time of day in milliseconds
     */
    public SuspensionWatch(LongSupplier monotonicNanos, LongSupplier dayMillis) {
        this.monotonicNanos = monotonicNanos;
        this.dayMillis = dayMillis;
        this.offset = offset();
    }

    /**
     * Compares the clocks.
     *
     * @return true if the VM seems to have stood still since the last call
     */
    public boolean stoodStill() {
        long now = offset();
        long ahead = now - offset;
        offset = now;
        return ahead > TOLERATED_NANOS;
    }

    private long offset() {
        return dayMillis.getAsLong() * NANOS_PER_MILLI - monotonicNanos.getAsLong();
    }
}
