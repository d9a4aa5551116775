package org.copperspindle.overload;

/**
 * Limits how many new connections a node takes while more come than its network thread can serve: the rate falls with each
 * late tick of the thread and rises with each one that is in time, so that the thread stays busy without a queue. Without
 * an overload nothing is limited.
 */
final class ConnectionRateLimit {

    /** Part of the rate at which connections were served during the overload with which the limit starts. */
    private static final double START_SHARE = 0.6;

    private static final double DECREASE = 0.7;
    private static final double INCREASE = 1.05;

    /**
     * Smallest number of connections a tick: more than usually come to a node. If the thread is late for other reasons, such
     * as a large configuration or the first seconds of the process, its callers are not turned away.
     */
    private static final double MIN_PER_TICK = 1;

    /** Connections that may come together after the thread was late: usual ones wait for it meanwhile. */
    private static final double MAX_SAVED = 3;

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
        tokens = MAX_SAVED;
    }

    private void adjust(long delayNanos) {
        perTick = LoopDelayMonitor.isLate(delayNanos) ? Math.max(MIN_PER_TICK, perTick * DECREASE) : perTick * INCREASE;
        tokens = Math.min(tokens, MAX_SAVED) + perTick;
        quietTicks = refused == 0 ? quietTicks + 1 : 0;
        limited = quietTicks < QUIET_TICKS;
    }
}
