package org.copperspindle.limits;

import org.HdrHistogram.Histogram;

/**
 * How long attempts of one stage took lately: two histograms, of which the older one is forgotten every few seconds, so
 * that a change shows within one window and a quiet stage loses what it knew.
 */
final class StageTail {

    private static final long UNIT_NANOS = 100_000;
    private static final long HIGHEST_UNITS = 36_000_000;
    private static final long WINDOW_NANOS = 5_000_000_000L;
    private static final int REFRESH_EVERY = 16;
    private static final int MIN_SAMPLES = 8;

    private Histogram current = new Histogram(HIGHEST_UNITS, 2);
    private Histogram previous = new Histogram(HIGHEST_UNITS, 2);
    private final Histogram merged = new Histogram(HIGHEST_UNITS, 2);
    private final long[] quantiles = new long[Quantile.values().length];
    private long windowEnds;
    private int sinceRefresh;

    /** Takes a duration; of an attempt still running it is a lower bound, which is better than not knowing. */
    void record(long nanos, long now) {
        rotate(now);
        current.recordValue(Math.min(HIGHEST_UNITS, nanos / UNIT_NANOS));
        if (++sinceRefresh >= REFRESH_EVERY) {
            refresh();
        }
    }

    /** Returns a quantile in nanoseconds, 0 while too little is known. */
    long quantile(Quantile quantile, long now) {
        rotate(now);
        return quantiles[quantile.ordinal()];
    }

    private void rotate(long now) {
        if (now < windowEnds) {
            return;
        }
        if (current.getTotalCount() >= MIN_SAMPLES || now - windowEnds > WINDOW_NANOS * 5) {
            Histogram oldest = previous;
            oldest.reset();
            previous = current;
            current = oldest;
        }
        windowEnds = now + WINDOW_NANOS;
        refresh();
    }

    private void refresh() {
        sinceRefresh = 0;
        merged.reset();
        merged.add(current);
        merged.add(previous);
        for (Quantile quantile : Quantile.values()) {
            quantiles[quantile.ordinal()] = merged.getTotalCount() < MIN_SAMPLES
                    ? 0
                    : merged.getValueAtPercentile(quantile.percent()) * UNIT_NANOS;
        }
    }
}
