package org.copperspindle.route;

import java.time.Duration;

/**
 * Limits on the size and the times of requests of callers.
 *
 * @param maxHeaderBytes maximum size of the head of a request
 * @param maxBodyBytes   maximum size of a body
 * @param headerTimeout  maximum time for a request to arrive
 * @param idleTimeout    maximum time between requests on a connection
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits in force before a table is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(10), Duration.ofSeconds(75));
}
