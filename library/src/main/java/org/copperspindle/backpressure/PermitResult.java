package org.copperspindle.backpressure;

/**
 * The result of a permit request for an upstream with a limit: whether and when a request may be sent.
 */
public sealed interface PermitResult {

    /**
     * The request may be sent.
     *
     * @param delayNanos nanoseconds from now; 0 for at once
     */
    record Granted(long delayNanos) implements PermitResult {}

    /**
     * The request may not be sent within the requested time.
     *
     * @param retryAfterNanos nanoseconds until a new permit request is worthwhile
     */
    record Denied(long retryAfterNanos) implements PermitResult {}
}
