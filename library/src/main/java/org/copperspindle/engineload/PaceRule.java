package org.copperspindle.engineload;

import java.time.Duration;

/**
 * Decides whether the engines of a pool differ so much that the choice of engine should depend on their pace.
 */
final class PaceRule {

    /** Pace of the slowest engine below which the engines differ. */
    static final double SLOW_PACE = 0.8;

    /** Pace of the slowest engine above which they no longer differ. */
    static final double EVEN_PACE = 0.9;

    /** A disturbance by neighbours is shorter. */
    private static final long SLOW_TIME_NANOS = Duration.ofSeconds(1).toNanos();

    /** Slow engines get few requests while the rule applies; the pace of one must be measured again first. */
    private static final long EVEN_TIME_NANOS = Duration.ofSeconds(3).toNanos();

    private boolean differs;
    private boolean pending;
    private long pendingSince;

    /** Takes the pace of the slowest engine of a fresh table. */
    void update(double slowestPace, long now) {
        boolean opposite = differs ? slowestPace > EVEN_PACE : slowestPace < SLOW_PACE;
        if (!opposite) {
            pending = false;
            return;
        }
        if (!pending) {
            pending = true;
            pendingSince = now;
        }
        if (now - pendingSince >= (differs ? EVEN_TIME_NANOS : SLOW_TIME_NANOS)) {
            differs = !differs;
            pending = false;
        }
    }

    /** Starts anew, because no table arrived for too long. */
    void reset() {
        differs = false;
        pending = false;
    }

    boolean differs() {
        return differs;
    }
}
