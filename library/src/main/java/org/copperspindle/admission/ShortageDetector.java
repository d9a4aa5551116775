package org.copperspindle.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a pool is short of capacity, with a hysteresis so that the nodes don't change between two ways of
 * deciding with every call.
 */
public final class ShortageDetector {

    /** A pool is short above this queueing, in full calls: up to it, queueing only keeps the calls full. */
    private static final double SHORT_CALLS = 0.5;

    /** Queueing in full calls below which the shortage may be over. */
    private static final double ENOUGH_CALLS = 0.25;

    /** How long the queueing must stay below that: about two full calls, so that one ended call is no reason. */
    private static final long ENOUGH_NANOS = Duration.ofSeconds(1).toNanos();

    /** Last time at which each short pool had more queueing than {@link #ENOUGH_CALLS}. */
    private final Map<String, Long> queuedAt = new HashMap<>();

    /**
     * Records the queueing of a pool.
     *
     * @param pool          name of the pool
     * @param queueingNanos estimated queueing of a new request, in nanoseconds
     * @param fullCallNanos duration of a full call, in nanoseconds
     * @param now           monotonic time in nanoseconds
     * @return true if the pool is short
     */
    public boolean update(String pool, long queueingNanos, long fullCallNanos, long now) {
        boolean wasShort = queuedAt.containsKey(pool);
        if (queueingNanos > SHORT_CALLS * fullCallNanos || wasShort && queueingNanos >= ENOUGH_CALLS * fullCallNanos) {
            queuedAt.put(pool, now);
        } else if (wasShort && now - queuedAt.get(pool) >= ENOUGH_NANOS) {
            queuedAt.remove(pool);
        }
        return isShort(pool);
    }

    /**
     * Returns whether a pool is short by its last update.
     *
     * @param pool name of the pool
     * @return false if the pool was never updated
     */
    public boolean isShort(String pool) {
        return queuedAt.containsKey(pool);
    }

    /**
     * Forgets a pool that this node no longer dispatches.
     *
     * @param pool name of the pool
     */
    public void forget(String pool) {
        queuedAt.remove(pool);
    }
}
