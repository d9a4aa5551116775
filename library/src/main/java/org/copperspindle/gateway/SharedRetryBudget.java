package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often requests are sent to a second upstream, over all nodes. When a pool fails as a whole, sending again
 * multiplies its load just when it can bear least. Each node keeps to a share, so that the shares add up to less than
 * the whole also while the number of nodes changes.
 */
public final class SharedRetryBudget {

    /** Part of the allowance that nodes use: the rest covers nodes that count themselves differently for a while. */
    private static final double USED = 0.6;

    private static final int BUCKETS = 10;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    private final Map<String, Window> windows = new HashMap<>();
    private int nodes = 1;

    /**
     * Creates a budget.
     *
     * @param ratio  repeats allowed for each request of a window
     * @param slack  repeats allowed in a window besides, over all nodes
     * @param window length of a window
     */
    public SharedRetryBudget(double ratio, double slack, Duration window) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = window.toNanos() / BUCKETS;
    }

    /**
     * Takes note of how many nodes share the budget.
     *
     * @param count nodes with this one; a count that falls is believed too, since the rest is kept in reserve
     */
    public void nodes(int count) {
        nodes = Math.max(1, count);
    }

    /**
     * Counts a request.
     *
     * @param pool pool that it goes to
     * @param now  monotonic time in nanoseconds
     */
    public void requested(String pool, long now) {
        window(pool).roll(now, bucketNanos).requests[0]++;
    }

    /**
     * Takes one repeat.
     *
     * @param pool pool that it goes to
     * @param now  monotonic time in nanoseconds
     * @return false if none is left
     */
    public boolean take(String pool, long now) {
        Window window = window(pool).roll(now, bucketNanos);
        if (left(window) < 1) {
            return false;
        }
        window.repeats[0]++;
        return true;
    }

    /**
     * Returns how many repeats are left.
     *
     * @param pool the pool
     * @param now  monotonic time in nanoseconds
     * @return a count, perhaps a fraction
     */
    public double left(String pool, long now) {
        return left(window(pool).roll(now, bucketNanos));
    }

    private double left(Window window) {
        double allowed = USED * (ratio * sum(window.requests) + slack / nodes);
        return allowed - sum(window.repeats);
    }

    private Window window(String pool) {
        return windows.computeIfAbsent(pool, p -> new Window());
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Counts of the last buckets, the newest first. */
    private static final class Window {
        private final long[] requests = new long[BUCKETS];
        private final long[] repeats = new long[BUCKETS];
        private long newest;
        private boolean begun;

        private Window roll(long now, long bucketNanos) {
            long bucket = Math.floorDiv(now, bucketNanos);
            long steps = begun ? Math.min(BUCKETS, bucket - newest) : 0;
            for (long step = 0; step < steps; step++) {
                shift(requests);
                shift(repeats);
            }
            newest = bucket;
            begun = true;
            return this;
        }

        private static void shift(long[] counts) {
            System.arraycopy(counts, 0, counts, 1, BUCKETS - 1);
            counts[0] = 0;
        }
    }
}
