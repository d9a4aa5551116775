package org.copperspindle.route;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits on the load of an upstream while it is cold, after its start or at any other moment.
 *
 * @param time      how long it stays cold
 * @param perSecond requests per second that it sustains from all nodes together; well above that it crashes
 */
public record ColdLimits(Duration time, double perSecond) {

    /**
     * Returns the limits for a rate.
     *
     * @param time      how long an upstream stays cold
     * @param perSecond requests per second that it sustains; 0 if a cold upstream sustains as much as any
     * @return the limits, empty if the rate is 0
     */
    public static Optional<ColdLimits> ofRate(Duration time, double perSecond) {
        return perSecond > 0 ? Optional.of(new ColdLimits(time, perSecond)) : Optional.empty();
    }
}
