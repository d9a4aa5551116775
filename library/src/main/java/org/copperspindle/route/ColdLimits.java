package org.copperspindle.route;

import java.time.Duration;

/**
 * What an upstream bears while it is cold, after its start or at any other moment.
 *
 * @param time      how long it stays cold
 * @param perSecond requests that it bears in a second from all nodes together; well above that it ends
 */
public record ColdLimits(Duration time, double perSecond) {}
