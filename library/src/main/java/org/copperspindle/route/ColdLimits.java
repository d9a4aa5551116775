package org.copperspindle.route;

import java.time.Duration;
import java.util.Optional;

/**
 * What an upstream bears while it is cold, after its start or at any other moment.
 *
 * @param time      how long it stays cold
 * @param perSecond requests that it bears in a second from all nodes together; well above that it ends
 */
public record ColdLimits(Duration time, double perSecond) {

    /**
     * Returns the limits that a table states.
     *
     * @param time      how long an upstream stays cold
     * @param perSecond requests that it bears in a second; 0 if a cold upstream bears as much as any
     * @return empty without a limit
     */
    public static Optional<ColdLimits> ofRate(Duration time, double perSecond) {
        return perSecond > 0 ? Optional.of(new ColdLimits(time, perSecond)) : Optional.empty();
    }
}
