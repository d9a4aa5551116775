package org.copperspindle.batch;

/**
 * The load of a stage pool.
 *
 * @param waitNanos       time until a group that arrives now would start
 * @param piecesPerSecond throughput of the pool in full calls; 0 if unknown
 * @param expectedPieces  pieces that requests in earlier stages will send
 */
public record PoolLoad(long waitNanos, double piecesPerSecond, long expectedPieces) {

    /** Load of an unknown pool: no load is assumed. */
    public static final PoolLoad UNKNOWN = new PoolLoad(0, 0, 0);

    /**
     * Returns the same load with another number of expected pieces.
     *
     * @param pieces pieces that requests in earlier stages will send
     * @return the load
     */
    public PoolLoad withExpectedPieces(long pieces) {
        return new PoolLoad(waitNanos, piecesPerSecond, pieces);
    }
}
