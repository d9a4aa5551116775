package org.copperspindle.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * When refused callers should come back, spread so that they don't come together.
 */
final class RetryAfterDelays {

    /** Shortest time after which a caller should come back where another upstream or node may serve it, and the spread. */
    private static final long SOON_MILLIS = 250;

    /**
     * Part of the time that a caller has left, after which it should come back where stage pools are full, and the part
     * over which callers are spread. Bursts last for several seconds; the rest of the time is enough for a whole run.
     */
    private static final double BURST_SHARE = 0.25;

    private static final double BURST_SPREAD = 0.08;

    private final RandomGenerator random;

    RetryAfterDelays(RandomGenerator random) {
        this.random = random;
    }

    /** Returns a time after which another try may go better. */
    Duration soon() {
        return Duration.ofMillis(SOON_MILLIS + random.nextLong(SOON_MILLIS));
    }

    /** Returns a time after which there may be room that is known to be taken for so long. */
    Duration after(long takenNanos) {
        return Duration.ofNanos(takenNanos).plus(soon());
    }

    /** Returns a time after which a burst may be over, for a caller that has so much time left. */
    Duration afterBurst(long leftNanos) {
        double share = BURST_SHARE + BURST_SPREAD * random.nextDouble();
        return Duration.ofNanos((long) (leftNanos * share));
    }
}
