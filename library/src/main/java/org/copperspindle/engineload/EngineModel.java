package org.copperspindle.engineload;

import java.time.Duration;

/**
 * Measured pace and pauses of one engine, as exponentially weighted sums of sampled tokens and sampled time.
 */
final class EngineModel {

    /** A slowdown of some hundred milliseconds leaves sums with this half-life almost unchanged. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Largest deviation of one sample from the pool's median speed, as a factor. Without it one attempt that hung for
     * seconds would mark its engine as slow.
     */
    private static final double MAX_DEVIATION = 2;

    /**
     * Samples at the median speed that are added to the measured ones. With few samples the pace is near 1, and it
     * returns there when an engine gets no more requests.
     */
    private static final double PRIOR_SAMPLES = 2;

    /** Weight of samples below which the rate of an engine does not count for the median of its pool. */
    private static final double MIN_SAMPLES = 1.5;

    private static final double MIN_SAMPLE_MILLIS = 1;

    /** Pauses are remembered for one to two periods of this length. */
    private static final long PAUSE_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();

    private double tokens;
    private double millis;
    private double samples;
    private long decayedAt;
    private long pausePeriodAt;
    private long pauseMillis;
    private long earlierPauseMillis;

    /**
     * Adds samples.
     *
     * @param sampledTokens tokens read
     * @param sampledMillis time without the base latency, in milliseconds
     * @param count         number of samples
     * @param speed         median speed of the pool in tokens per millisecond, 0 while it is not known
     * @param now           monotonic time in nanoseconds
     */
    void add(double sampledTokens, double sampledMillis, long count, double speed, long now) {
        decay(now);
        double taken = Math.max(MIN_SAMPLE_MILLIS * count, sampledMillis);
        if (speed > 0) {
            double expected = sampledTokens / speed;
            taken = Math.max(expected / MAX_DEVIATION, Math.min(expected * MAX_DEVIATION, taken));
        }
        tokens += sampledTokens;
        millis += taken;
        samples += count;
    }

    void addPause(long longestMillis, long now) {
        rotatePauses(now);
        pauseMillis = Math.max(pauseMillis, longestMillis);
    }

    /** Returns whether there are enough recent samples for {@link #rate} to mean something. */
    boolean isMeasured(long now) {
        decay(now);
        return samples >= MIN_SAMPLES && millis > 0;
    }

    /** Returns the measured speed in tokens per millisecond. */
    double rate() {
        return tokens / millis;
    }

    /** Returns the speed relative to the pool's median, which is given in tokens per millisecond. */
    double pace(double speed, long now) {
        decay(now);
        if (speed <= 0 || samples <= 0 || tokens <= 0) {
            return 1;
        }
        double prior = PRIOR_SAMPLES * tokens / samples;
        return (tokens + prior) / (millis * speed + prior);
    }

    long longestPauseMillis(long now) {
        rotatePauses(now);
        return Math.max(pauseMillis, earlierPauseMillis);
    }

    private void decay(long now) {
        double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_NANOS);
        tokens *= factor;
        millis *= factor;
        samples *= factor;
        decayedAt = now;
    }

    private void rotatePauses(long now) {
        long age = now - pausePeriodAt;
        if (age < PAUSE_PERIOD_NANOS) {
            return;
        }
        earlierPauseMillis = age < 2 * PAUSE_PERIOD_NANOS ? pauseMillis : 0;
        pauseMillis = 0;
        pausePeriodAt = now;
    }
}
