package org.copperspindle.http;

import java.time.Duration;

/**
 * Bounds on what one connection may make this process hold, and for how long.
 *
 * @param maxLineBytes    longest request line
 * @param maxHeaderBytes  all header fields together
 * @param maxBodyBytes    longest body
 * @param maxConnections  connections open at once; further ones are refused
 * @param readTimeout     from the first byte of a request to its last, however slowly they come
 * @param idleTimeout     longest wait for the next request of a connection that is kept open
 * @param writeTimeout    longest time that a caller may leave an answer unread
 * @param maxPendingBytes bytes of an answer in pieces that may wait for a caller that reads slowly
 */
public record HttpLimits(
        int maxLineBytes,
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxConnections,
        Duration readTimeout,
        Duration idleTimeout,
        Duration writeTimeout,
        long maxPendingBytes) {

    /** Limits for callers where the settings name none. */
    public static final HttpLimits DEFAULT = new HttpLimits(
            4096,
            16384,
            1 << 20,
            10_000,
            Duration.ofSeconds(10),
            Duration.ofSeconds(75),
            Duration.ofSeconds(30),
            256 << 10);

    /**
     * Makes limits with the usual bounds on waiting.
     *
     * @param maxLineBytes   longest request line
     * @param maxHeaderBytes all header fields together
     * @param maxBodyBytes   longest body
     * @param maxConnections connections open at once
     * @param readTimeout    from the first byte of a request to its last
     */
    public HttpLimits(
            int maxLineBytes, int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration readTimeout) {
        this(
                maxLineBytes,
                maxHeaderBytes,
                maxBodyBytes,
                maxConnections,
                readTimeout,
                DEFAULT.idleTimeout,
                DEFAULT.writeTimeout,
                DEFAULT.maxPendingBytes);
    }

    /**
     * Returns these limits with another bound on bodies.
     *
     * @param bytes longest body
     * @return new limits
     */
    public HttpLimits withMaxBody(int bytes) {
        return new HttpLimits(
                maxLineBytes,
                maxHeaderBytes,
                bytes,
                maxConnections,
                readTimeout,
                idleTimeout,
                writeTimeout,
                maxPendingBytes);
    }
}
