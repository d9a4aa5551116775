package org.copperspindle.measure;

/**
 * Counts events in a sliding window of buckets: the newest bucket and the full ones before it that fit into the window.
 */
public final class SlidingWindowCount {

    private final long bucketNanos;
    private final long[] counts;
    private long newest;
    private boolean started;

    /**
     * Creates an empty window.
     *
     * @param buckets     number of buckets in the window
     * @param bucketNanos length of a bucket in nanoseconds
     */
    public SlidingWindowCount(int buckets, long bucketNanos) {
        this.counts = new long[buckets];
        this.bucketNanos = bucketNanos;
    }

    /**
     * Counts one event.
     *
     * @param now monotonic time in nanoseconds
     */
    public void add(long now) {
        advance(now);
        counts[0]++;
    }

    /**
     * Returns the number of events in the window.
     *
     * @param now monotonic time in nanoseconds
     * @return a count
     */
    public long sum(long now) {
        advance(now);
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, bucketNanos);
        long steps = started ? Math.min(counts.length, bucket - newest) : 0;
        for (long step = 0; step < steps; step++) {
            System.arraycopy(counts, 0, counts, 1, counts.length - 1);
            counts[0] = 0;
        }
        newest = bucket;
        started = true;
    }
}
