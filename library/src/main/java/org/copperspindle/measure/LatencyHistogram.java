package org.copperspindle.measure;

/**
 * Counts durations by fixed bounds. Recording costs a few comparisons, so that it can stand on every request's path;
 * single-threaded.
 */
public final class LatencyHistogram {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Upper bounds in seconds: from a plain call's few milliseconds to the longest deadline. */
    private static final double[] BOUNDS = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 20, 60};

    private final long[] counts = new long[BOUNDS.length + 1];
    private double sumSeconds;

    /**
     * Records a duration.
     *
     * @param nanos nanoseconds
     */
    public void record(long nanos) {
        double seconds = nanos / NANOS_PER_SECOND;
        int bucket = 0;
        while (bucket < BOUNDS.length && seconds > BOUNDS[bucket]) {
            bucket++;
        }
        counts[bucket]++;
        sumSeconds += seconds;
    }

    /**
     * Returns how many bounds there are; one more bucket has none.
     *
     * @return a count
     */
    public static int bounds() {
        return BOUNDS.length;
    }

    /**
     * Names the bound of a bucket.
     *
     * @param bucket number of the bucket
     * @return seconds, or {@code +Inf}
     */
    public static String bound(int bucket) {
        return bucket < BOUNDS.length ? Double.toString(BOUNDS[bucket]) : "+Inf";
    }

    /**
     * Returns how many durations were at most a bound.
     *
     * @param bucket number of the bucket
     * @return a count
     */
    public long atMost(int bucket) {
        long sum = 0;
        for (int i = 0; i <= bucket; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /**
     * Returns the sum of all durations.
     *
     * @return seconds
     */
    public double sumSeconds() {
        return sumSeconds;
    }
}
