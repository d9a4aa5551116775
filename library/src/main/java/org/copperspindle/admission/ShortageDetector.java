package org.copperspindle.admission;

import java.time.Duration;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;

/**
 * Decides when a pool is short of capacity, with a hysteresis so that the nodes don't change between two ways of
 * deciding with every call.
 */
public final class ShortageDetector implements StartPolicy.Shortage {

    /** A pool is short above this queueing, in full calls: up to it, queueing only keeps the calls full. */
    private static final double SHORT_CALLS = 0.5;

    /** Queueing in full calls below which the shortage may be over. */
    private static final double ENOUGH_CALLS = 0.25;

    /** How long the queueing must stay below that: about two full calls, so that one ended call is no reason. */
    private static final long ENOUGH_NANOS = Duration.ofSeconds(1).toNanos();

    /** Calls of earlier stages that most expected pieces still wait for; the pool works meanwhile. */
    private static final int EARLIER_CALLS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private boolean isShort;
    private long queuedAt;

    /**
     * Returns the queueing of a new request at a pool: the pieces that wait, and those expected from earlier requests
     * beyond what the pool works off until they arrive.
     *
     * @param load   load of the pool
     * @param limits limits of its calls
     * @return nanoseconds
     */
    public static long queueingNanos(PoolLoad load, BatchLimits limits) {
        if (load.piecesPerSecond() <= 0) {
            return load.waitNanos();
        }
        long expected = (long) (load.expectedPieces() / load.piecesPerSecond() * NANOS_PER_SECOND);
        return load.waitNanos() + Math.max(0, expected - EARLIER_CALLS * limits.fullCallNanos());
    }

    @Override
    public boolean update(long queueingNanos, long fullCallNanos, long now) {
        boolean stays = isShort && queueingNanos >= ENOUGH_CALLS * fullCallNanos;
        if (stays || queueingNanos > SHORT_CALLS * fullCallNanos) {
            isShort = true;
            queuedAt = now;
        } else if (isShort && now - queuedAt >= ENOUGH_NANOS) {
            isShort = false;
        }
        return isShort;
    }
}
