package org.copperspindle.limits;

/**
 * The share of a pool's declared concurrency that an entry uses: it decreases while attempts miss their deadlines and
 * increases while none does (additive increase, multiplicative decrease). An engine with all slots busy serves each
 * request more slowly, and under overload all of them may miss their deadlines although the pool is full. With fewer
 * concurrent attempts, the remainder waits in the queue or is refused before it costs anything.
 */
final class ConcurrencyLimit {

    private static final double MIN_SHARE = 0.6;
    private static final double DECREASE = 0.9;
    private static final double INCREASE = 0.05;
    private static final double MISS_SHARE = 0.1;
    private static final int MIN_SAMPLES = 20;
    private static final long STEP_INTERVAL_NANOS = 500_000_000;

    private double share = 1;
    private int ended;
    private int missed;
    private long lastStepAt;

    void ended(boolean inTime, long now) {
        ended++;
        missed += inTime ? 0 : 1;
        if (ended < MIN_SAMPLES || now - lastStepAt < STEP_INTERVAL_NANOS) {
            return;
        }
        boolean isOverloaded = missed > ended * MISS_SHARE;
        share = isOverloaded ? Math.max(MIN_SHARE, share * DECREASE) : Math.min(1, share + INCREASE);
        ended = 0;
        missed = 0;
        lastStepAt = now;
    }

    double share() {
        return share;
    }
}
