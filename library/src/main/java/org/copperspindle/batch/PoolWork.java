package org.copperspindle.batch;

/**
 * The work that the upstreams of a pool did in calls of one dispatcher since it started.
 *
 * @param busySeconds total duration of calls over all upstreams
 * @param pieces      number of pieces that were made
 * @param splitGroups number of groups that were split to fill calls while the pool was short of capacity
 */
public record PoolWork(double busySeconds, long pieces, long splitGroups) {

    /** No calls. */
    public static final PoolWork NONE = new PoolWork(0, 0, 0);

    PoolWork withSplitGroups(long groups) {
        return new PoolWork(busySeconds, pieces, groups);
    }

    PoolWork plus(double seconds, long made) {
        return new PoolWork(busySeconds + seconds, pieces + made, splitGroups);
    }
}
