package org.copperspindle.route;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take or stay idle.
 *
 * @param maxHeaderBytes largest head of a request
 * @param maxBodyBytes   largest body
 * @param headerTimeout  longest time for a request to arrive
 * @param idleTimeout    longest time between requests of a connection
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Bounds in force before a table is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(10), Duration.ofSeconds(75));
}
