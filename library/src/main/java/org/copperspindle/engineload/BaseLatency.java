package org.copperspindle.engineload;

/**
 * Time to the first event beyond reading the prompt, learned from short prompts of the whole pool. Without it, short
 * prompts would make every engine look slow.
 */
final class BaseLatency {

    /** Prompts up to this length are read in less time than the base takes, or in about as much. */
    private static final double SHORT_TOKENS = 2000;

    /** Weight of the newest sample. */
    private static final double WEIGHT = 0.05;

    /** The base never explains more than this share of a short prompt's time: some of it was reading. */
    private static final double MAX_SHARE = 0.5;

    private double millis;

    /** Learns from samples; the speed is the median of the pool in tokens per millisecond. */
    void observe(double meanTokens, double meanMillis, double speed) {
        if (meanTokens > SHORT_TOKENS || speed <= 0) {
            return;
        }
        double rest = Math.max(0, Math.min(meanMillis * MAX_SHARE, meanMillis - meanTokens / speed));
        millis += WEIGHT * (rest - millis);
    }

    double millis() {
        return millis;
    }
}
