package org.copperspindle.limits;

import java.util.HashSet;
import java.util.Set;

import org.HdrHistogram.Histogram;

/**
 * Recent durations of the attempts of one stage, in two histograms. The older one is dropped every few seconds, so
 * that a change becomes visible within one window and an idle stage forgets its durations.
 */
final class StageLatency {

    private static final long UNIT_NANOS = 100_000;
    private static final long HIGHEST_UNITS = 36_000_000;
    private static final long WINDOW_NANOS = 5_000_000_000L;
    private static final int RECORDS_PER_REFRESH = 16;
    private static final int MIN_SAMPLES = 8;
    private static final double OVERDUE_SHARE = 0.5;
    private static final double MAX_SLOWDOWN = 3;

    private Histogram current = new Histogram(HIGHEST_UNITS, 2);
    private Histogram previous = new Histogram(HIGHEST_UNITS, 2);
    private final Histogram merged = new Histogram(HIGHEST_UNITS, 2);
    private final long[] quantiles = new long[Quantile.values().length];
    private final Set<String> overdue = new HashSet<>();
    private int running;
    private long windowEndsAt;
    private int sinceRefresh;

    void started() {
        running++;
    }

    void ended(String requestId) {
        running--;
        overdue.remove(requestId);
    }

    /** Records that an attempt runs longer than the median. */
    void overdue(String requestId) {
        overdue.add(requestId);
    }

    /**
     * Returns the factor by which attempts currently take longer than the quantiles. Slow attempts are counted late,
     * after much work was admitted that cannot complete in time: in the first seconds of a slowdown every new request
     * would miss its deadline. The share of running attempts beyond the median shows the slowdown as soon as the
     * median has passed, and a single stalled upstream among several does not reach the threshold.
     */
    double slowdown() {
        if (running < MIN_SAMPLES) {
            return 1;
        }
        double share = (double) overdue.size() / running;
        return share < OVERDUE_SHARE ? 1 : Math.min(MAX_SLOWDOWN, 1 / Math.max(1e-3, 1 - share));
    }

    /** Records a duration. For an attempt that is still running it is a lower bound, which is better than no sample. */
    void record(long nanos, long now) {
        rotate(now);
        current.recordValue(Math.min(HIGHEST_UNITS, nanos / UNIT_NANOS));
        if (++sinceRefresh >= RECORDS_PER_REFRESH) {
            refresh();
        }
    }

    /** Returns a quantile in nanoseconds, 0 while there are too few samples. */
    long quantile(Quantile quantile, long now) {
        rotate(now);
        return (long) (quantiles[quantile.ordinal()] * slowdown());
    }

    private void rotate(long now) {
        if (now < windowEndsAt) {
            return;
        }
        if (current.getTotalCount() >= MIN_SAMPLES || now - windowEndsAt > WINDOW_NANOS * 5) {
            Histogram oldest = previous;
            oldest.reset();
            previous = current;
            current = oldest;
        }
        windowEndsAt = now + WINDOW_NANOS;
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
