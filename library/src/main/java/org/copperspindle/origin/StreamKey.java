package org.copperspindle.origin;

import org.copperspindle.digest.ContentDigest;

/**
 * Identifies a stream by the request that began it. Requests of other pools and client accounts never have the same key,
 * whatever ids their callers choose.
 *
 * @param text 32 hexadecimal digits
 */
public record StreamKey(String text) {

    /**
     * Returns the key of a stream.
     *
     * @param pool      pool of the upstream
     * @param account   client account of the caller, empty for none
     * @param requestId id of the request
     * @return the key, equal for equal arguments only
     */
    public static StreamKey of(String pool, String account, String requestId) {
        return new StreamKey(ContentDigest.of(pool, account, requestId));
    }
}
