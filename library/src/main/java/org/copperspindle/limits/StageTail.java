package org.copperspindle.limits;

import java.util.HashSet;
import java.util.Set;

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
    private static final double OVERDUE_SHARE = 0.5;
    private static final double MAX_SLOWDOWN = 3;

    private Histogram current = new Histogram(HIGHEST_UNITS, 2);
    private Histogram previous = new Histogram(HIGHEST_UNITS, 2);
    private final Histogram merged = new Histogram(HIGHEST_UNITS, 2);
    private final long[] quantiles = new long[Quantile.values().length];
    private final Set<String> overdue = new HashSet<>();
    private int running;
    private long windowEnds;
    private int sinceRefresh;

    void started() {
        running++;
    }

    void ended(String requestId) {
        running--;
        overdue.remove(requestId);
    }

    /** Notes that an attempt runs for longer than half of the attempts did. */
    void overdue(String requestId) {
        overdue.add(requestId);
    }

    /**
     * Returns how much longer attempts take now than the quantiles say. Safeguard: attempts that end slowly are counted
     * late, when much work was taken on that can't be done; the symptom is a miss for everything that arrives in the
     * first seconds of a slowdown. The share of running attempts beyond the median shows it as soon as the median has
     * passed, and one stalled upstream among several does not reach the threshold.
     */
    double slowdown() {
        if (running < MIN_SAMPLES) {
            return 1;
        }
        double share = (double) overdue.size() / running;
        return share < OVERDUE_SHARE ? 1 : Math.min(MAX_SLOWDOWN, 1 / Math.max(1e-3, 1 - share));
    }

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
        return (long) (quantiles[quantile.ordinal()] * slowdown());
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
