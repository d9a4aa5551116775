package org.copperspindle.batch;

/**
 * How loaded a stage pool is.
 *
 * @param waitNanos       time until a group that comes now would begin
 * @param piecesPerSecond what the pool makes in full calls; 0 if not known
 */
public record PoolLoad(long waitNanos, double piecesPerSecond) {

    /** Nothing is known: no load is assumed. */
    public static final PoolLoad UNKNOWN = new PoolLoad(0, 0);
}
