package org.copperspindle.batch;

/**
 * The work that the upstreams of a pool did in calls of one dispatcher since it started.
 *
 * @param busySeconds total duration of calls over all upstreams
 * @param pieces      number of pieces that were made
 */
public record PoolWork(double busySeconds, long pieces) {

    /** No calls. */
    public static final PoolWork NONE = new PoolWork(0, 0);

    PoolWork plus(double seconds, long made) {
        return new PoolWork(busySeconds + seconds, pieces + made);
    }
}
