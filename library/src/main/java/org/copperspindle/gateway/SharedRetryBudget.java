package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.copperspindle.measure.SlidingCount;

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
    public void recordRequest(String pool, long now) {
        window(pool).requests.add(now);
    }

    /**
     * Takes one repeat.
     *
     * @param pool pool that it goes to
     * @param now  monotonic time in nanoseconds
     * @return false if none is left
     */
    public boolean tryAcquire(String pool, long now) {
        if (remaining(pool, now) < 1) {
            return false;
        }
        window(pool).repeats.add(now);
        return true;
    }

    /**
     * Returns how many repeats are left.
     *
     * @param pool the pool
     * @param now  monotonic time in nanoseconds
     * @return a count, perhaps a fraction
     */
    public double remaining(String pool, long now) {
        Window window = window(pool);
        double allowed = USED * (ratio * window.requests.sum(now) + slack / nodes);
        return allowed - window.repeats.sum(now);
    }

    private Window window(String pool) {
        return windows.computeIfAbsent(pool, p -> new Window(bucketNanos));
    }

    /** What a pool got lately. */
    private static final class Window {
        private final SlidingCount requests;
        private final SlidingCount repeats;

        private Window(long bucketNanos) {
            this.requests = new SlidingCount(BUCKETS, bucketNanos);
            this.repeats = new SlidingCount(BUCKETS, bucketNanos);
        }
    }
}
