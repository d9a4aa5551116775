package org.copperspindle.http;

import java.time.Duration;

/**
 * Bounds on what one connection may make this process hold.
 *
 * @param maxLineBytes   longest request line
 * @param maxHeaderBytes all header fields together
 * @param maxBodyBytes   longest body
 * @param maxConnections connections open at once; further ones are closed at once
 * @param readTimeout    longest silence while a request is being sent
 */
public record HttpLimits(
        int maxLineBytes, int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration readTimeout) {

    /** Limits for callers where the settings name none. */
    public static final HttpLimits DEFAULT = new HttpLimits(4096, 16384, 1 << 20, 10_000, Duration.ofSeconds(10));
}
