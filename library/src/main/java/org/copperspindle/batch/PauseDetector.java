package org.copperspindle.batch;

import java.time.Duration;

/**
 * Notices that this process stood still. Calls that were under way meanwhile seem to have taken as long, and groups of other nodes have
 * gone to another packer.
 *
 * <p>The process looks at its clock at least every {@link BatchService#LOAD_INTERVAL_NANOS}. After a standstill the first look may
 * be that of an answer which had been waiting, so that everything that judges a time looks here first.
 */
final class PauseDetector {

    /** Several looks long: a busy process is late by less. */
    private static final long STANDSTILL_NANOS = Duration.ofMillis(500).toNanos();

    private long lookedAt;
    private long wokeAt;
    private long stoodNanos;
    private boolean looked;

    /**
     * Looks at the clock.
     *
     * @param now monotonic time in nanoseconds
     */
    void look(long now) {
        if (looked && now - lookedAt >= STANDSTILL_NANOS) {
            wokeAt = now;
            stoodNanos = now - lookedAt;
        }
        looked = true;
        lookedAt = now;
    }

    /**
     * Says whether something that ends now was under way during a standstill.
     *
     * @param beganAt when it began
     * @param now     monotonic time in nanoseconds
     */
    boolean spoils(long beganAt, long now) {
        look(now);
        return stoodNanos > 0 && beganAt - wokeAt < 0;
    }

    /** Returns how long the last standstill was; 0 if there was none. */
    long stoodNanos() {
        return stoodNanos;
    }

    /** Returns when it ended. */
    long wokeAt() {
        return wokeAt;
    }
}
