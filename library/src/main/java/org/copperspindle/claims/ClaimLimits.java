package org.copperspindle.claims;

import java.time.Duration;

/**
 * Bounds of a claim table in time and space. Every member must use the same ones, since they decide what the replicated
 * commands do.
 *
 * @param outcomeTime       time of the log for which a key's first attempt is known, so that its outcome can be asked for
 * @param refusalTime       further time for which the key alone is known, so that it is refused
 * @param maxClaims         claims of one shard whose attempt is known
 * @param maxRefused        keys of one shard that are refused
 */
public record ClaimLimits(Duration outcomeTime, Duration refusalTime, int maxClaims, int maxRefused) {

    /** Ten minutes and a day; at most 131,072 claims and 4,194,304 refused keys over all shards. */
    public static final ClaimLimits DEFAULT = new ClaimLimits(Duration.ofMinutes(10), Duration.ofDays(1), 512, 16384);
}
