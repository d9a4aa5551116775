package org.copperspindle.limits;

/**
 * Rate of events per second in which older events count exponentially less.
 */
final class DecayingRate {

    private static final double TIME_CONSTANT_SECONDS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private double rate;
    private long at;

    void count(long now) {
        rate = perSecond(now) + 1 / TIME_CONSTANT_SECONDS;
        at = now;
    }

    double perSecond(long now) {
        return rate * Math.exp(-(now - at) / NANOS_PER_SECOND / TIME_CONSTANT_SECONDS);
    }
}
