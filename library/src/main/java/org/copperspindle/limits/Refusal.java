package org.copperspindle.limits;

import java.time.Duration;

/**
 * Refusal of a request.
 *
 * @param reason     reason as one word, for logs and callers
 * @param retryAfter time after which the caller may retry
 */
public record Refusal(String reason, Duration retryAfter) {

    /** The client account or the entry is at its limit. */
    public static final String RATE = "rate";

    /** The request cannot complete within its deadline. */
    public static final String DEADLINE_UNREACHABLE = "deadline-unreachable";
}
