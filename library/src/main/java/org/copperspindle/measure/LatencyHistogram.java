package org.copperspindle.measure;

/**
 * A histogram of durations with fixed bucket bounds. Recording takes a few comparisons, cheap enough for every request.
 * Not thread-safe.
 */
public final class LatencyHistogram {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Upper bounds of the buckets in seconds, from the few milliseconds of a plain call to the longest deadline. */
    private static final double[] BOUNDS = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 20, 60};

    private final long[] counts = new long[BOUNDS.length + 1];
    private double sumSeconds;

    /**
     * Records a duration.
     *
     * @param nanos the duration in nanoseconds
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
     * Returns the number of bucket bounds. One further bucket has no upper bound.
     *
     * @return a count
     */
    public static int bounds() {
        return BOUNDS.length;
    }

    /**
     * Formats the upper bound of a bucket.
     *
     * @param bucket index of the bucket
     * @return the bound in seconds, or {@code +Inf}
     */
    public static String bound(int bucket) {
        return bucket < BOUNDS.length ? Double.toString(BOUNDS[bucket]) : "+Inf";
    }

    /**
     * Returns the number of durations up to and including the bound of a bucket.
     *
     * @param bucket index of the bucket
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
