package org.copperspindle.fleet;

/**
 * What the weight store bears, over the whole fleet.
 *
 * @param loadsPerSecond  loads begun per second in the long run
 * @param burst           loads that may be begun at once after a quiet time
 * @param concurrentLoads loads under way at once
 */
public record WeightStoreSettings(double loadsPerSecond, int burst, int concurrentLoads) {

    /** Used where the configuration names none. */
    public static final WeightStoreSettings DEFAULT = new WeightStoreSettings(0.5, 2, 8);
}
