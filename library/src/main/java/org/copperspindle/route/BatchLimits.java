package org.copperspindle.route;

/**
 * What one upstream of a stage pool takes.
 *
 * @param concurrentCalls      calls in progress at once
 * @param maxQueuedCalls       calls that may wait
 * @param maxPieces            most pieces of one call
 * @param callNanos            time of a call without its pieces
 * @param pieceNanos           approximate time of one piece
 * @param resultBytes          memory for results
 * @param resultRetentionNanos how long a result is kept after its call unless it is freed
 * @param linkBytesPerSecond   over which results are fetched; 0 if not known
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
     * @param pieces its pieces
     * @return nanoseconds, approximately
     */
    public long expectedNanos(int pieces) {
        return callNanos + pieces * pieceNanos;
    }

    /**
     * Returns how long a call takes that has as many pieces as it may.
     *
     * @return nanoseconds, approximately
     */
    public long fullCallNanos() {
        return expectedNanos(maxPieces);
    }
}
