package org.copperspindle.claims;

import java.time.Duration;

/**
 * Limits of a claim table in time and space. They affect the result of replicated commands, so every member must use
 * the same ones.
 *
 * @param outcomeTime time of the log for which the first attempt of a key is stored, so that its outcome can be
 *                    queried
 * @param refusalTime additional time for which only the key is stored, so that it is refused
 * @param maxClaims   maximum number of claims with a stored attempt per shard
 * @param maxRefused  maximum number of refused keys per shard
 */
public record ClaimLimits(Duration outcomeTime, Duration refusalTime, int maxClaims, int maxRefused) {

    /** Default limits: ten minutes and one day; at most 131,072 claims and 4,194,304 refused keys in all shards. */
    public static final ClaimLimits DEFAULT = new ClaimLimits(Duration.ofMinutes(10), Duration.ofDays(1), 512, 16384);
}
