package org.copperspindle.batch;

/**
 * The running calls of one pool that carry only groups of interrupted streams. Such a call is short, since it takes no
 * other groups.
 */
final class ResumedCalls {

    /**
     * Share of the upstreams that run such calls at the same time. When an engine crashes, many streams are resumed
     * at once; without a bound their small calls would take the throughput of all upstreams from the other requests.
     */
    private static final double MAX_UPSTREAM_SHARE = 0.25;

    private int running;

    /** Returns how many more such calls may start in a pool with the given number of upstreams. */
    int free(int upstreams) {
        return Math.max(1, (int) (upstreams * MAX_UPSTREAM_SHARE)) - running;
    }

    void onSent(boolean resumedOnly) {
        running += resumedOnly ? 1 : 0;
    }

    void onEnded(boolean resumedOnly) {
        running -= resumedOnly ? 1 : 0;
    }
}
