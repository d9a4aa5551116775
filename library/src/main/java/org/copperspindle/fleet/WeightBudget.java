package org.copperspindle.fleet;

/**
 * Token bucket for loads from the weight store.
 */
final class WeightBudget {

    private static final double NANOS = 1e9;

    private WeightStoreSettings settings = WeightStoreSettings.DEFAULT;
    private double tokens;
    private long at;

    /**
     * Creates an empty bucket. A new leader does not know what the one before has begun; a full one would let each
     * change of leader add a burst on top of the rate.
     */
    WeightBudget(long now) {
        this.at = now;
    }

    void settings(WeightStoreSettings newest) {
        settings = newest;
    }

    void take() {
        tokens--;
    }

    boolean ready(long now) {
        tokens = Math.min(settings.burst(), tokens + (now - at) / NANOS * settings.loadsPerSecond());
        at = now;
        return tokens >= 1;
    }
}
