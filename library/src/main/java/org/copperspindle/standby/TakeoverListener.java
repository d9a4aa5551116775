package org.copperspindle.standby;

/**
 * Listener for changes of the acting dispatchers. Called on the network thread.
 */
public interface TakeoverListener {

    /**
     * Called when the groups of a pool that wait at one node belong at another.
     *
     * @param pool name of the pool
     * @param from name of the node at which they wait
     * @param to   name of the node that dispatches the pool now
     * @return number of this node's groups that were moved
     */
    default int moveGroups(String pool, String from, String to) {
        return 0;
    }

    /** Called when any pool has got another acting dispatcher, after the groups were moved. */
    default void onChange() {}
}
