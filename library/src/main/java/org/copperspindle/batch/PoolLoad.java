package org.copperspindle.batch;

/**
 * How loaded a stage pool is.
 *
 * @param waitNanos       time until a group that comes now would begin
 * @param piecesPerSecond what the pool makes in full calls; 0 if not known
 * @param expectedPieces  pieces that requests in earlier stages will send
 */
public record PoolLoad(long waitNanos, double piecesPerSecond, long expectedPieces) {

    /** Nothing is known: no load is assumed. */
    public static final PoolLoad UNKNOWN = new PoolLoad(0, 0, 0);

    PoolLoad withPromised(long pieces) {
        return new PoolLoad(waitNanos, piecesPerSecond, pieces);
    }
}
