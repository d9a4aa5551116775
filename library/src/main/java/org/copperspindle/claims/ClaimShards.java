package org.copperspindle.claims;

import net.openhft.hashing.LongHashFunction;

/**
 * Partitions the claims by key, so that they can be distributed over several consensus groups. All stages of one key
 * are in one shard. The number of shards is part of the protocol; currently one group holds all shards.
 */
public final class ClaimShards {

    /** Number of shards; a power of two. */
    public static final int COUNT = 256;

    private ClaimShards() {}

    /**
     * Returns the shard of a key.
     *
     * @param account client account
     * @param key     idempotency key
     * @return a number from 0 to {@link #COUNT} - 1
     */
    public static int of(String account, String key) {
        return (int) LongHashFunction.xx3(1).hashChars(account + '\u0000' + key) & (COUNT - 1);
    }
}
