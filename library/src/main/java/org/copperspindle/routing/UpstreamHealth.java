package org.copperspindle.routing;

/**
 * What one entry saw of an upstream's successes and failures, and whether it keeps away from it for a while.
 */
public final class UpstreamHealth {

    private static final int FAILURES_IN_A_ROW = 3;
    private static final int MIN_SAMPLES = 10;
    private static final double FAILURE_SHARE = 0.5;
    private static final double SMOOTHING = 0.1;
    private static final long BASE_EJECTION_NANOS = 2_000_000_000L;
    private static final int MAX_DOUBLINGS = 4;

    private long lastSuccessAt = Long.MIN_VALUE;
    private long ejectedUntil = Long.MIN_VALUE;
    private int failuresInARow;
    private int samples;
    private int ejections;
    private double failureShare;
    private boolean onProbation;

    /**
     * Notes a success.
     *
     * @param now nanoseconds of the timer service
     */
    public void succeeded(long now) {
        lastSuccessAt = now;
        failuresInARow = 0;
        samples++;
        failureShare -= SMOOTHING * failureShare;
        if (onProbation) {
            onProbation = false;
            ejections = 0;
        }
    }

    /** Notes a failure. */
    public void failed() {
        failuresInARow++;
        samples++;
        failureShare += SMOOTHING * (1 - failureShare);
    }

    /**
     * Says whether there were failures enough to keep away. A single failure is never enough.
     *
     * @return true if it should be ejected, where the pool's floor allows it
     */
    public boolean failing() {
        return onProbation && failuresInARow > 0
                || failuresInARow >= FAILURES_IN_A_ROW
                || samples >= MIN_SAMPLES && failureShare >= FAILURE_SHARE;
    }

    /**
     * Keeps away for a while, longer each time.
     *
     * @param now nanoseconds of the timer service
     */
    public void eject(long now) {
        ejectedUntil = now + (BASE_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        onProbation = true;
        failuresInARow = 0;
        samples = 0;
        failureShare = 0;
    }

    /**
     * Says whether the entry keeps away now.
     *
     * @param now nanoseconds of the timer service
     * @return true until the ejection ends
     */
    public boolean ejected(long now) {
        return now < ejectedUntil;
    }

    /**
     * Says whether an ejection ended and no attempt has succeeded since; then one attempt at a time is enough.
     *
     * @return true until the next success
     */
    public boolean onProbation() {
        return onProbation;
    }

    /**
     * Returns the instant of the last success.
     *
     * @return nanoseconds of the timer service, the least value if there was none
     */
    public long lastSuccessAt() {
        return lastSuccessAt;
    }
}
