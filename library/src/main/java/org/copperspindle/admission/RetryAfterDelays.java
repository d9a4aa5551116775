package org.copperspindle.admission;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Delays after which refused callers should retry, randomized so that they don't retry at the same time.
 */
public final class RetryAfterDelays {

    /** Minimum delay and width of the random part where another upstream or node may serve the caller. */
    private static final long MIN_DELAY_MILLIS = 250;

    /**
     * Fraction of the caller's remaining time after which it should retry when the stage pools are full, and the
     * fraction over which the retries are spread. Bursts last for several seconds; the rest of the time is enough for
     * a complete run.
     */
    private static final double BURST_DELAY_FRACTION = 0.25;

    private static final double BURST_SPREAD_FRACTION = 0.08;

    private final RandomGenerator random;

    /**
     * Creates the delays.
     *
     * @param random randomizes each delay
     */
    public RetryAfterDelays(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns a delay after which a retry may reach another upstream or node.
     *
     * @return a randomized delay
     */
    public Duration soon() {
        return Duration.ofMillis(MIN_DELAY_MILLIS + random.nextLong(MIN_DELAY_MILLIS));
    }

    /**
     * Returns a delay for a retry when all capacity is known to be in use for the given time.
     *
     * @param busyNanos time in nanoseconds for which all capacity is in use
     * @return that time and a randomized delay
     */
    public Duration after(long busyNanos) {
        return Duration.ofNanos(busyNanos).plus(soon());
    }

    /**
     * Returns a delay after which a burst may be over, for a caller with the given remaining time.
     *
     * @param remainingNanos time that the caller has left, in nanoseconds
     * @return a randomized part of that time
     */
    public Duration afterBurst(long remainingNanos) {
        double fraction = BURST_DELAY_FRACTION + BURST_SPREAD_FRACTION * random.nextDouble();
        return Duration.ofNanos((long) (remainingNanos * fraction));
    }
}
