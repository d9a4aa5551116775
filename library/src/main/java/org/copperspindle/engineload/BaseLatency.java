package org.copperspindle.engineload;

/**
 * Time to the first event beyond reading the prompt, learned from short prompts of the whole pool. Without it, short
 * prompts would make every engine look slow.
 */
final class BaseLatency {

    /** Prompts up to this length are read in less time than the base takes, or in about as much. */
    static final double SHORT_TOKENS = 2000;

    /** Weight of a sample above the base: most of these waited behind prompts that the node did not know of. */
    private static final double RISE = 0.05;

    /** Weight of a sample below the base. */
    private static final double FALL = 0.1;

    /** The base never explains more than this share of a short prompt's time: some of it was reading. */
    private static final double MAX_SHARE = 0.8;

    private double millis;

    /** Learns from samples; the speed is the median of the pool in tokens per millisecond. */
    void observe(double meanTokens, double meanMillis, double speed) {
        if (meanTokens > SHORT_TOKENS || speed <= 0) {
            return;
        }
        double rest = Math.max(0, Math.min(meanMillis * MAX_SHARE, meanMillis - meanTokens / speed));
        millis += (rest > millis ? RISE : FALL) * (rest - millis);
    }

    double millis() {
        return millis;
    }
}
