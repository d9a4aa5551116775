package org.copperspindle.quarantine;

import java.time.Duration;

/**
 * Decides from the level of a suspicion whether a request is quarantined, and for how long.
 *
 * <p>The level counts consecutive terminations, not all of them. When a failure domain loses power, a popular request
 * runs at many upstreams that terminate at the same time; these runs started without knowledge of each other's
 * outcome and raise the level only once.
 */
final class QuarantinePolicy {

    /** Added to the level by a termination while other requests of the pool are served. */
    static final int STEP = 2;

    /**
     * Added to the level while more upstreams of the pool terminate without the request than runs survive. A release
     * that crashes under any request makes every request look suspicious, so twice as many terminations are required.
     */
    static final int STEP_AMONG_OTHER_TERMINATIONS = 1;

    /**
     * Level at which a request is quarantined. Two terminations may be a coincidence, and each further one interrupts
     * all requests that run on the same upstream.
     */
    static final int QUARANTINE_LEVEL = 3 * STEP;

    /** Maximum level; higher ones would have no further effect. */
    static final int MAX_LEVEL = QUARANTINE_LEVEL + 6 * STEP;

    /** Length of the first quarantine; a request that was quarantined by mistake is tried again after a minute. */
    private static final long MIN_QUARANTINE_NANOS = Duration.ofMinutes(1).toNanos();

    /**
     * Maximum length of a quarantine. Each termination after a quarantine doubles the next one up to this limit, so
     * that a harmful request terminates only a few upstreams a day.
     */
    private static final long MAX_QUARANTINE_NANOS = Duration.ofHours(1).toNanos();

    /**
     * How long a request is remembered after its quarantine; without a termination in this time its level starts
     * again at zero.
     */
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    private QuarantinePolicy() {}

    static boolean isQuarantined(int level, long sinceLastTermination) {
        return sinceLastTermination < quarantineNanos(level);
    }

    /** Returns how long a request is quarantined after the last termination; zero below {@link #QUARANTINE_LEVEL}. */
    static long quarantineNanos(int level) {
        if (level < QUARANTINE_LEVEL) {
            return 0;
        }
        int extraTerminations = (level - QUARANTINE_LEVEL) / STEP;
        return Math.min(MAX_QUARANTINE_NANOS, MIN_QUARANTINE_NANOS << extraTerminations);
    }

    /** Returns how long a request is remembered after the last termination or after it was cleared. */
    static long retentionNanos(int level) {
        return quarantineNanos(level) + RETENTION_NANOS;
    }
}
