package org.copperspindle.overload;

/**
 * Limits how many new connections a node takes while more come than its network thread can serve: the rate falls with each
 * late tick of the thread and rises with each one that is in time, so that the thread stays busy without a queue. Without
 * an overload nothing is limited.
 */
final class ConnectionRateLimit {

    /** Part of the rate at which connections were served during the overload with which the limit starts. */
    private static final double START_SHARE = 0.8;

    private static final double DECREASE = 0.7;
    private static final double INCREASE = 1.05;

    /** Smallest number of connections a tick; a node that takes none would not learn that it has capacity again. */
    private static final double MIN_PER_TICK = 0.2;

    /** Consecutive ticks without a refused connection after which the limit ends. */
    private static final int QUIET_TICKS = 20;

    private final long tickNanos;
    private final LoopDelayMonitor monitor = new LoopDelayMonitor();
    private boolean limited;
    private double perTick;
    private double tokens;
    private int arrivals;
    private int refused;
    private int quietTicks;

    /**
     * Creates the limit of a node that is not overloaded.
     *
     * @param tickNanos time between ticks of the network thread, in nanoseconds
     */
    ConnectionRateLimit(long tickNanos) {
        this.tickNanos = tickNanos;
    }

    /**
     * Records a tick of the network thread and adjusts the limit.
     *
     * @param delayNanos time between the moment at which the tick was due and its execution, in nanoseconds
     * @param now        monotonic time in nanoseconds
     */
    void record(long delayNanos, long now) {
        monitor.record(delayNanos, now);
        if (limited) {
            adjust(delayNanos);
        } else if (monitor.isOverloaded()) {
            start(delayNanos);
        }
        arrivals = 0;
        refused = 0;
    }

    /** Returns whether one more connection is within the limit, and counts it. */
    boolean tryAdmit() {
        arrivals++;
        if (!limited) {
            return true;
        }
        if (tokens >= 1) {
            tokens--;
            return true;
        }
        refused++;
        return false;
    }

    boolean isLimited() {
        return limited;
    }

    private void start(long delayNanos) {
        limited = true;
        quietTicks = 0;
        double served = (double) arrivals * tickNanos / (tickNanos + delayNanos);
        perTick = Math.max(MIN_PER_TICK, served * START_SHARE);
        tokens = 0;
    }

    private void adjust(long delayNanos) {
        perTick = LoopDelayMonitor.isLate(delayNanos) ? Math.max(MIN_PER_TICK, perTick * DECREASE) : perTick * INCREASE;
        tokens = Math.min(tokens, 1) + perTick;
        quietTicks = refused == 0 ? quietTicks + 1 : 0;
        limited = quietTicks < QUIET_TICKS;
    }
}
