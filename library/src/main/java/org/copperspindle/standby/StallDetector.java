package org.copperspindle.standby;

import java.time.Duration;
import java.util.function.LongSupplier;

import org.copperspindle.time.SuspensionDetector;

/**
 * Detects that this process stood still, either because it was not scheduled, which the monotonic clock shows, or
 * because its VM was suspended, during which the monotonic clock may stand still as well.
 */
public final class StallDetector {

    /** Shortest stall: the silence after which a standby takes over. */
    private static final long MIN_STALL_NANOS = Duration.ofMillis(300).toNanos();

    private final LongSupplier clock;
    private final SuspensionDetector suspensions;
    private long checkedAt;

    /**
     * Creates a detector. It must be checked at intervals well below 300 ms.
     *
     * @param clock       monotonic time in nanoseconds
     * @param suspensions detects suspensions of the VM; used by this detector only
     */
    public StallDetector(LongSupplier clock, SuspensionDetector suspensions) {
        this.clock = clock;
        this.suspensions = suspensions;
        this.checkedAt = clock.getAsLong();
    }

    /**
     * Compares the clocks with the previous check.
     *
     * @return true if the process stood still since then
     */
    boolean check() {
        long now = clock.getAsLong();
        boolean isLate = now - checkedAt >= MIN_STALL_NANOS;
        checkedAt = now;
        return suspensions.detectSuspension() || isLate;
    }
}
