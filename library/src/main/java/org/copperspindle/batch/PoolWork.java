package org.copperspindle.batch;

/**
 * What the upstreams of a pool did in the calls that one node packed, since it started.
 *
 * @param busySeconds time in calls, over all upstreams
 * @param pieces      pieces that were made
 */
public record PoolWork(double busySeconds, long pieces) {

    /** No call was packed here. */
    public static final PoolWork NONE = new PoolWork(0, 0);

    PoolWork and(double seconds, long made) {
        return new PoolWork(busySeconds + seconds, pieces + made);
    }
}
