package org.copperspindle.limits;

/**
 * The share of a pool's declared concurrency that an entry fills: less while attempts miss their deadlines there, more
 * when none does (additive increase, multiplicative decrease). Safeguard: an engine with every slot busy serves each
 * request more slowly, and under overload all of them may miss; the symptom is a full pool that answers nothing in time.
 * Fewer at once is enough, because what does not fit waits in line or is refused before it costs anything.
 */
final class ConcurrencyLimit {

    private static final double LEAST = 0.6;
    private static final double DECREASE = 0.9;
    private static final double INCREASE = 0.05;
    private static final double MISS_SHARE = 0.1;
    private static final int MIN_SAMPLES = 20;
    private static final long STEP_NANOS = 500_000_000;

    private double share = 1;
    private int ended;
    private int missed;
    private long steppedAt;

    void ended(boolean inTime, long now) {
        ended++;
        missed += inTime ? 0 : 1;
        if (ended < MIN_SAMPLES || now - steppedAt < STEP_NANOS) {
            return;
        }
        boolean tooMuch = missed > ended * MISS_SHARE;
        share = tooMuch ? Math.max(LEAST, share * DECREASE) : Math.min(1, share + INCREASE);
        ended = 0;
        missed = 0;
        steppedAt = now;
    }

    double share() {
        return share;
    }
}
