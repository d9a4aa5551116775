package org.copperspindle.soak;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a stand-in bears after its start: counts what arrives in each second that slides, and tells when that would end it.
 */
final class ColdStart {

    /** As the route table states it. */
    static final long TIME_MILLIS = 2000;

    /** As the route table states it, from all nodes together. */
    static final int PER_SECOND = 4;

    /** Bears whatever comes. */
    static final ColdStart WARM = new ColdStart(0);

    /** Half as much again, and five: an upstream ends above that. */
    private static final int MOST = PER_SECOND * 3 / 2 + 5;

    private static final long SECOND_MILLIS = 1000;

    private final long warmAt;
    private final Deque<Long> arrivals = new ArrayDeque<>();

    private ColdStart(long warmAt) {
        this.warmAt = warmAt;
    }

    /** Returns what an upstream bears that starts now. */
    static ColdStart at(long now) {
        return new ColdStart(now + TIME_MILLIS);
    }

    /** Returns for how much longer it stays cold. */
    long leftMillis(long now) {
        return Math.max(0, warmAt - now);
    }

    /** Counts an arrival; returns whether it is one too many. */
    synchronized boolean isTooMuch(long now) {
        if (leftMillis(now) == 0) {
            return false;
        }
        arrivals.addLast(now);
        while (now - arrivals.peekFirst() >= SECOND_MILLIS) {
            arrivals.pollFirst();
        }
        return arrivals.size() > MOST;
    }
}
