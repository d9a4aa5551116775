package org.copperspindle.backpressure;

/**
 * Whether, and when, a request may be sent to an upstream that has named a limit.
 */
public sealed interface PermitResult {

    /**
     * It may be sent.
     *
     * @param delayNanos nanoseconds from now on; 0 for at once
     */
    record Granted(long delayNanos) implements PermitResult {}

    /**
     * It may not be sent in the time that was asked for.
     *
     * @param freeNanos nanoseconds until another question has better prospects
     */
    record Denied(long freeNanos) implements PermitResult {}
}
