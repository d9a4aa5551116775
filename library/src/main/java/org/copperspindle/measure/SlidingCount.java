package org.copperspindle.measure;

/**
 * Counts events in a window that slides by buckets: the newest bucket and as many full ones before it as the window has room
 * for.
 */
public final class SlidingCount {

    private final long bucketNanos;
    private final long[] counts;
    private long newest;
    private boolean begun;

    /**
     * Creates a count of zero.
     *
     * @param buckets     buckets of the window
     * @param bucketNanos length of one, in nanoseconds
     */
    public SlidingCount(int buckets, long bucketNanos) {
        this.counts = new long[buckets];
        this.bucketNanos = bucketNanos;
    }

    /**
     * Counts one event.
     *
     * @param now monotonic time in nanoseconds
     */
    public void add(long now) {
        roll(now);
        counts[0]++;
    }

    /**
     * Returns the events of the window.
     *
     * @param now monotonic time in nanoseconds
     * @return a count
     */
    public long sum(long now) {
        roll(now);
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    private void roll(long now) {
        long bucket = Math.floorDiv(now, bucketNanos);
        long steps = begun ? Math.min(counts.length, bucket - newest) : 0;
        for (long step = 0; step < steps; step++) {
            System.arraycopy(counts, 0, counts, 1, counts.length - 1);
            counts[0] = 0;
        }
        newest = bucket;
        begun = true;
    }
}
