package org.copperspindle.fleet;

/**
 * Token bucket that limits the rate of loads from the weight store.
 */
final class LoadTokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private WeightStoreSettings settings = WeightStoreSettings.DEFAULT;
    private double tokens;
    private long updatedAt;

    /**
     * Creates an empty bucket. A new leader does not know which loads its predecessor has started; with a full bucket,
     * each change of leader would add a burst on top of the rate.
     */
    LoadTokenBucket(long now) {
        this.updatedAt = now;
    }

    void settings(WeightStoreSettings newest) {
        settings = newest;
    }

    void take() {
        tokens--;
    }

    boolean hasToken(long now) {
        tokens = Math.min(settings.burst(), tokens + (now - updatedAt) / NANOS_PER_SECOND * settings.loadsPerSecond());
        updatedAt = now;
        return tokens >= 1;
    }
}
