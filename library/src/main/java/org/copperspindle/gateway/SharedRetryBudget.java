package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.copperspindle.measure.SlidingWindowCount;

/**
 * Limits retries at a second upstream, over all nodes. When a whole pool fails, retries multiply its load just when it
 * can sustain least. Each node keeps to a share of the budget, such that the shares add up to less than the whole even
 * while the number of nodes changes.
 */
public final class SharedRetryBudget {

    /** Share of the budget that nodes use: the rest covers nodes that disagree on the number of nodes for a while. */
    private static final double USED_SHARE = 0.6;

    private static final int BUCKETS = 10;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    private final Map<String, Window> windows = new HashMap<>();
    private int nodes = 1;

    /**
     * Creates a budget.
     *
     * @param ratio  retries allowed per request of a window
     * @param slack  additional retries allowed in a window, over all nodes
     * @param window length of a window
     */
    public SharedRetryBudget(double ratio, double slack, Duration window) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = window.toNanos() / BUCKETS;
    }

    /**
     * Sets how many nodes share the budget.
     *
     * @param count nodes including this one; a decrease is applied at once too, since the rest of the budget is kept
     *              in reserve
     */
    public void setNodeCount(int count) {
        nodes = Math.max(1, count);
    }

    /**
     * Counts a request.
     *
     * @param pool pool that the request goes to
     * @param now  monotonic time in nanoseconds
     */
    public void recordRequest(String pool, long now) {
        window(pool).requests.add(now);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param pool pool that the retry goes to
     * @param now  monotonic time in nanoseconds
     * @return false if none is left
     */
    public boolean tryAcquire(String pool, long now) {
        if (remaining(pool, now) < 1) {
            return false;
        }
        window(pool).retries.add(now);
        return true;
    }

    /**
     * Returns how many retries are left.
     *
     * @param pool the pool
     * @param now  monotonic time in nanoseconds
     * @return a count, possibly fractional
     */
    public double remaining(String pool, long now) {
        Window window = window(pool);
        double allowed = USED_SHARE * (ratio * window.requests.sum(now) + slack / nodes);
        return allowed - window.retries.sum(now);
    }

    private Window window(String pool) {
        return windows.computeIfAbsent(pool, p -> new Window(bucketNanos));
    }

    /** Recent requests and retries of a pool. */
    private static final class Window {
        private final SlidingWindowCount requests;
        private final SlidingWindowCount retries;

        private Window(long bucketNanos) {
            this.requests = new SlidingWindowCount(BUCKETS, bucketNanos);
            this.retries = new SlidingWindowCount(BUCKETS, bucketNanos);
        }
    }
}
