package org.copperspindle.limits;

/**
 * Quantiles of attempt durations used for decisions.
 */
enum Quantile {
    /** Nine in ten attempts take longer. */
    P10(10),
    /** Half of the attempts take longer. */
    P50(50),
    /** One in twenty attempts takes longer. */
    P95(95);

    private final double percent;

    Quantile(double percent) {
        this.percent = percent;
    }

    double percent() {
        return percent;
    }
}
