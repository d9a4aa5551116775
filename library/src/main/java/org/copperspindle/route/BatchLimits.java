package org.copperspindle.route;

/**
 * Limits of one upstream of a stage pool.
 *
 * @param concurrentCalls      calls in progress at once
 * @param maxQueuedCalls       calls that may wait at the upstream
 * @param maxPieces            maximum pieces of one call
 * @param callNanos            time of a call without its pieces
 * @param pieceNanos           approximate time of one piece
 * @param resultBytes          memory for results
 * @param resultRetentionNanos how long a result is kept after its call unless it is released
 * @param linkBytesPerSecond   bandwidth of the link over which results are fetched; 0 if unknown
 */
public record BatchLimits(
        int concurrentCalls,
        int maxQueuedCalls,
        int maxPieces,
        long callNanos,
        long pieceNanos,
        long resultBytes,
        long resultRetentionNanos,
        long linkBytesPerSecond) {

    /**
     * Returns how long a call takes.
     *
     * @param pieces number of its pieces
     * @return nanoseconds, approximately
     */
    public long expectedNanos(int pieces) {
        return callNanos + pieces * pieceNanos;
    }

    /**
     * Returns how long a call with the maximum number of pieces takes.
     *
     * @return nanoseconds, approximately
     */
    public long fullCallNanos() {
        return expectedNanos(maxPieces);
    }
}
