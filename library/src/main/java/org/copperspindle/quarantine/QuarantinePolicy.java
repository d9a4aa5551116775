package org.copperspindle.quarantine;

import java.time.Duration;

/**
 * Decides from the level of a suspicion whether its suspect is quarantined, and for how long.
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

    /**
     * Added to the level of a prompt part by a termination that is weaker evidence: the run was sent before the last
     * termination was known, as happens after a long wait at an upstream, or the same request terminated an upstream before.
     */
    static final int SMALL_STEP = 1;

    /**
     * Minimum time since the last termination for {@link #SMALL_STEP} to be added to it. Upstreams that terminate for one
     * reason, such as a lost failure domain, are noticed within less.
     */
    static final long MIN_SEPARATION_MILLIS = 200;

    /**
     * Requests under which upstreams must terminate before a prompt part is quarantined. With a single one, the request
     * itself is quarantined.
     */
    static final int MIN_REQUESTS_OF_PART = 2;

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

    /**
     * Returns the level on which the quarantine is decided. A prompt part that the same software answered shortly before
     * needs twice the evidence: requests hold several parts, and the one that crashes upstreams is answered by none.
     */
    static int effectiveLevel(Suspicion suspicion) {
        if (!suspicion.isOfPromptPart()) {
            return suspicion.level();
        }
        if (suspicion.evidence().requests().size() < MIN_REQUESTS_OF_PART) {
            return Math.min(suspicion.level(), QUARANTINE_LEVEL - 1);
        }
        return suspicion.evidence().isContradictory()
                ? Math.max(0, suspicion.level() - QUARANTINE_LEVEL)
                : suspicion.level();
    }

    /** Returns how long a request is quarantined after the last termination; zero below {@link #QUARANTINE_LEVEL}. */
    static long quarantineNanos(int level) {
        if (level < QUARANTINE_LEVEL) {
            return 0;
        }
        int extraTerminations = (level - QUARANTINE_LEVEL) / STEP;
        return Math.min(MAX_QUARANTINE_NANOS, MIN_QUARANTINE_NANOS << extraTerminations);
    }

    /** Returns the remaining quarantine time of a suspicion at its current age; zero if it is over. */
    static Duration remainingQuarantine(Suspicion suspicion) {
        Duration whole = Duration.ofNanos(quarantineNanos(effectiveLevel(suspicion)));
        Duration remaining = whole.minusMillis(suspicion.ageMillis());
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    /** Returns how long a request is remembered after the last termination or after it was cleared. */
    static long retentionNanos(int level) {
        return quarantineNanos(level) + RETENTION_NANOS;
    }
}
