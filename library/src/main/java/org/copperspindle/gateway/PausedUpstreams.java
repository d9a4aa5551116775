package org.copperspindle.gateway;

/**
 * Counts the upstreams whose responses are not read because their callers don't read. Used on the network thread only.
 */
final class PausedUpstreams {

    private int now;
    private long total;

    void increment() {
        now++;
        total++;
    }

    void decrement() {
        now--;
    }

    /** Returns how many are paused now. */
    int now() {
        return now;
    }

    /** Returns how often one was paused. */
    long total() {
        return total;
    }
}
