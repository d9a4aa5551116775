package org.copperspindle.limits;

import java.time.Duration;

/**
 * A request that is not taken on.
 *
 * @param reason     why, one word for logs and callers
 * @param retryAfter when the caller may come back
 */
public record Refusal(String reason, Duration retryAfter) {

    /** The client account or the entry is at its limit. */
    public static final String RATE = "rate";

    /** It can't be done within its deadline. */
    public static final String DEADLINE_UNREACHABLE = "deadline-unreachable";
}
