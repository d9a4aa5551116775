package org.copperspindle.fleet;

/**
 * Limits for loads from the weight store, over the whole fleet.
 *
 * @param loadsPerSecond  sustained rate at which loads may start, per second
 * @param burst           loads that may start at once after an idle period
 * @param concurrentLoads maximum concurrent loads
 */
public record WeightStoreSettings(double loadsPerSecond, int burst, int concurrentLoads) {

    /** Used when the configuration has no section for the weight store. */
    public static final WeightStoreSettings DEFAULT = new WeightStoreSettings(0.5, 2, 8);
}
