package org.copperspindle.overload;

import java.time.Duration;

/**
 * Detects a standing queue at the network thread by the delay of a periodic timer. A single long task, a collection or a
 * suspension of the VM delays one tick and is over at the next; work that waits behind other work delays each of them.
 */
final class LoopDelayMonitor {

    /** Delay above which a tick is late; a request passes the network thread several times. */
    static final long TARGET_NANOS = Duration.ofMillis(30).toNanos();

    /** Consecutive late ticks that show an overload, if they cover {@link #LATE_NANOS}. */
    static final int LATE_TICKS = 3;

    /** Time for which ticks must be late; the longer each takes, the fewer there are. */
    static final long LATE_NANOS = Duration.ofMillis(500).toNanos();

    private int lateTicks;
    private long lateSince;
    private long lateNanos;

    /**
     * Records a tick.
     *
     * @param delayNanos time between the moment at which the tick was due and its execution, in nanoseconds
     * @param now        monotonic time in nanoseconds
     */
    void record(long delayNanos, long now) {
        if (!isLate(delayNanos)) {
            lateTicks = 0;
            return;
        }
        if (lateTicks == 0) {
            lateSince = now - delayNanos;
        }
        lateTicks++;
        lateNanos = now - lateSince;
    }

    /** Returns whether work waits at the network thread; false as soon as one tick is in time. */
    boolean isOverloaded() {
        return lateTicks >= LATE_TICKS && lateNanos >= LATE_NANOS;
    }

    static boolean isLate(long delayNanos) {
        return delayNanos > TARGET_NANOS;
    }
}
