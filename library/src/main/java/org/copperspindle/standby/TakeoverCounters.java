package org.copperspindle.standby;

/**
 * Counts of takeovers by this node, for the metrics.
 */
public final class TakeoverCounters {

    private long takeovers;
    private int active;
    private long droppedMessages;

    TakeoverCounters() {}

    /**
     * Returns how many times this node has taken over a pool.
     *
     * @return the number since this node started
     */
    public long takeovers() {
        return takeovers;
    }

    /**
     * Returns how many pools this node dispatches instead of their dispatchers.
     *
     * @return the present number
     */
    public int active() {
        return active;
    }

    /**
     * Returns how many heartbeats and announcements were dropped as malformed or not from the responsible node.
     *
     * @return the number since this node started
     */
    public long droppedMessages() {
        return droppedMessages;
    }

    void recordTakeover() {
        takeovers++;
    }

    void recordActive(int pools) {
        active = pools;
    }

    void recordDroppedMessage() {
        droppedMessages++;
    }
}
