package org.copperspindle.routing;

/**
 * Successes and failures of an upstream as observed by one entry, and whether the entry has ejected it.
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
     * Records a success.
     *
     * @param now monotonic time in nanoseconds
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

    /** Records a failure. */
    public void failed() {
        failuresInARow++;
        samples++;
        failureShare += SMOOTHING * (1 - failureShare);
    }

    /**
     * Returns whether there were enough failures to eject the upstream. A single failure is never enough.
     *
     * @return true if it should be ejected, provided that the limit of the pool allows it
     */
    public boolean failing() {
        return onProbation && failuresInARow > 0
                || failuresInARow >= FAILURES_IN_A_ROW
                || samples >= MIN_SAMPLES && failureShare >= FAILURE_SHARE;
    }

    /**
     * Ejects the upstream for a while, longer each time.
     *
     * @param now monotonic time in nanoseconds
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
     * Returns whether the upstream is ejected.
     *
     * @param now monotonic time in nanoseconds
     * @return true until the ejection ends
     */
    public boolean ejected(long now) {
        return now < ejectedUntil;
    }

    /**
     * Returns whether an ejection has ended and no attempt has succeeded since; during this time only one attempt at
     * a time is sent.
     *
     * @return true until the next success
     */
    public boolean onProbation() {
        return onProbation;
    }

    /**
     * Returns the time of the last success.
     *
     * @return monotonic time in nanoseconds, {@link Long#MIN_VALUE} if there was none
     */
    public long lastSuccessAt() {
        return lastSuccessAt;
    }
}
