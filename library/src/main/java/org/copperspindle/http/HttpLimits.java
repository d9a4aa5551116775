package org.copperspindle.http;

import java.time.Duration;

/**
 * Limits on the memory and time that one connection may take.
 *
 * @param maxLineBytes    longest request line
 * @param maxHeaderBytes  total size of all header fields
 * @param maxBodyBytes    longest body
 * @param maxConnections  most open connections; further ones are refused
 * @param readTimeout     longest time from the first byte of a request to the end of its head, however slowly they arrive
 * @param bodyTimeout     longest time from the end of the head to that of the body
 * @param idleTimeout     longest wait for the next request on a persistent connection
 * @param writeTimeout    longest time that a caller may leave a response unread
 * @param maxPendingBytes most bytes of a chunked response that may wait for a slow caller
 */
public record HttpLimits(
        int maxLineBytes,
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxConnections,
        Duration readTimeout,
        Duration bodyTimeout,
        Duration idleTimeout,
        Duration writeTimeout,
        long maxPendingBytes) {

    /** Default limits, used where the settings give none. */
    public static final HttpLimits DEFAULT = new HttpLimits(
            4096,
            16384,
            1 << 20,
            10_000,
            Duration.ofSeconds(10),
            Duration.ofSeconds(30),
            Duration.ofSeconds(75),
            Duration.ofSeconds(30),
            256 << 10);

    /**
     * Creates limits with the default idle timeout, write timeout and pending bytes.
     *
     * @param maxLineBytes   longest request line
     * @param maxHeaderBytes total size of all header fields
     * @param maxBodyBytes   longest body
     * @param maxConnections most open connections
     * @param readTimeout    longest time for the head, and for the body
     */
    public HttpLimits(
            int maxLineBytes, int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration readTimeout) {
        this(
                maxLineBytes,
                maxHeaderBytes,
                maxBodyBytes,
                maxConnections,
                readTimeout,
                readTimeout,
                DEFAULT.idleTimeout,
                DEFAULT.writeTimeout,
                DEFAULT.maxPendingBytes);
    }

    /**
     * Returns a copy with another limit for the body.
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
                bodyTimeout,
                idleTimeout,
                writeTimeout,
                maxPendingBytes);
    }
}
