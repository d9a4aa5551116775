package org.copperspindle.engineload;

import java.time.Duration;

/**
 * Measured pace and pauses of one engine, as exponentially weighted sums of sampled tokens and sampled time.
 */
final class EngineModel {

    /**
     * Long enough that a slowdown of some hundred milliseconds, which disturbs one or two samples of an engine, does not
     * change where prompts go; short enough that a slow engine is recognized within a burst.
     */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(6).toNanos();

    /**
     * Largest deviation of one sample from the pool's median speed, as a factor. Without it one attempt that hung for
     * seconds would mark its engine as slow.
     */
    private static final double MAX_DEVIATION = 2.5;

    /** Samples at the median speed that are added to the measured ones: the pace of an unused engine goes to 1. */
    private static final double PRIOR_SAMPLES = 1;

    /**
     * The same before an engine is called slow: several disturbances in a row must not move prompts away from the
     * engines that have cached their shared parts.
     */
    private static final double CAUTIOUS_PRIOR_SAMPLES = 4;

    /** Weight of samples below which nothing can be said of an engine: two may fall into one disturbance. */
    private static final double MIN_SAMPLES = 3;

    private static final double MIN_SAMPLE_MILLIS = 1;

    /** Pauses are remembered for one to two periods of this length. */
    private static final long PAUSE_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();

    private double tokens;
    private double millis;
    private double samples;
    private long decayedAt;
    private long lastFirstEventAt = Long.MIN_VALUE;
    private long heardAt;
    private long pausePeriodAt;
    private long pauseMillis;
    private long earlierPauseMillis;

    /**
     * Adds a sample. A short prompt counts for less, because most of its time is the base latency.
     *
     * @param sampledTokens tokens read
     * @param sampledMillis time without the base latency, in milliseconds
     * @param speed         median speed of the pool in tokens per millisecond, 0 while it is not known
     * @param now           monotonic time in nanoseconds
     */
    void add(double sampledTokens, double sampledMillis, double speed, long now) {
        decay(now);
        double taken = Math.max(MIN_SAMPLE_MILLIS, sampledMillis);
        if (speed > 0) {
            double expected = sampledTokens / speed;
            taken = Math.max(expected / MAX_DEVIATION, Math.min(expected * MAX_DEVIATION, taken));
        }
        tokens += sampledTokens;
        millis += taken;
        samples += Math.min(1, sampledTokens / BaseLatency.SHORT_TOKENS);
    }

    /** Notes when the engine had read a prompt; from then on it read the next one. */
    void firstEvent(long at) {
        lastFirstEventAt = at;
    }

    long lastFirstEventAt() {
        return lastFirstEventAt;
    }

    /** Notes that a node reported the engine. */
    void heard(long at) {
        heardAt = at;
    }

    long heardAt() {
        return heardAt;
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
        return pace(speed, PRIOR_SAMPLES, now);
    }

    /** Returns the pace by which to decide whether the engine differs from others: nearer to 1 for few samples. */
    double cautiousPace(double speed, long now) {
        return pace(speed, CAUTIOUS_PRIOR_SAMPLES, now);
    }

    private double pace(double speed, double priorSamples, long now) {
        decay(now);
        if (speed <= 0 || samples < MIN_SAMPLES || tokens <= 0) {
            return 1;
        }
        double prior = priorSamples * tokens / samples;
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
