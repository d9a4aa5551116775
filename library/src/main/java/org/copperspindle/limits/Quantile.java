package org.copperspindle.limits;

/**
 * Quantiles of attempt durations that decisions go by.
 */
enum Quantile {
    /** Nearly every attempt takes longer. */
    P10(10),
    /** Half of the attempts take longer. */
    P50(50),
    /** One in twenty takes longer. */
    P95(95);

    private final double percent;

    Quantile(double percent) {
        this.percent = percent;
    }

    double percent() {
        return percent;
    }
}
