package org.copperspindle.soak;

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
    private final ArrivalWindow second = new ArrivalWindow(SECOND_MILLIS);

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
        return leftMillis(now) > 0 && second.add(now) > MOST;
    }
}
