package org.copperspindle.claims;

import net.openhft.hashing.LongHashFunction;

/**
 * Key of a claim, held by at most one attempt.
 *
 * @param account client account
 * @param key     idempotency key of the request
 * @param stage   pipeline and stage
 */
record ClaimKey(String account, String key, String stage) {

    private static final char SEPARATOR = '\u0000';

    /**
     * Returns a hash that is the same on every member and in every release, since it is stored in snapshots.
     *
     * @return XXH3 of the account, key and stage
     */
    long hash() {
        return LongHashFunction.xx3().hashChars(account + SEPARATOR + key + SEPARATOR + stage);
    }
}
