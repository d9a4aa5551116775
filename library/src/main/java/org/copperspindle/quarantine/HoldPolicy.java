package org.copperspindle.quarantine;

import java.time.Duration;

/**
 * Decides from the level of a suspicion whether a request is held off, and for how long.
 *
 * <p>The level counts ends of upstreams one after the other, not ends in all. When a failure domain loses power, a popular
 * request runs at many upstreams that end at once; those runs were sent in ignorance of each other, and raise the level
 * once.
 */
final class HoldPolicy {

    /** What an end adds to the level while other requests of the pool are served. */
    static final int END = 2;

    /**
     * What it adds while more upstreams of the pool end without the request than requests are served: a release that ends
     * under anything makes everything look guilty, and twice as many ends are asked for.
     */
    static final int END_AMONG_OTHERS = 1;

    /** Level of a request that is held off: two ends may be bad luck, and each more cuts off everybody who ran beside it. */
    static final int HOLD = 3 * END;

    /** A level beyond this changes nothing any more. */
    static final int MOST = HOLD + 6 * END;

    /** A request that is held off in error is tried again after a minute. */
    private static final long FIRST_HOLD_NANOS = Duration.ofMinutes(1).toNanos();

    /** Each end after a hold doubles the next one up to this, so that a guilty request ends few upstreams a day. */
    private static final long LONGEST_HOLD_NANOS = Duration.ofHours(1).toNanos();

    /** A request that no upstream ended under for so long, outside of a hold, starts anew. */
    private static final long FORGET_NANOS = Duration.ofMinutes(10).toNanos();

    private HoldPolicy() {}

    static boolean isQuarantined(int level, long sinceLastEnd) {
        return sinceLastEnd < holdNanos(level);
    }

    /** Returns how long after the last end a request is held off; zero below {@link #HOLD}. */
    static long holdNanos(int level) {
        if (level < HOLD) {
            return 0;
        }
        int ends = (level - HOLD) / END;
        return Math.min(LONGEST_HOLD_NANOS, FIRST_HOLD_NANOS << ends);
    }

    /** Returns how long after the last end, or after it was cleared, a request is remembered. */
    static long keepNanos(int level) {
        return holdNanos(level) + FORGET_NANOS;
    }
}
