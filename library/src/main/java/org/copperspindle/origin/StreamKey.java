package org.copperspindle.origin;

import java.util.HexFormat;

import org.copperspindle.digest.ContentDigest;

/**
 * Identifies a stream by the request that began it. Requests of other pools and client accounts never have the same key,
 * whatever ids their callers choose.
 *
 * @param text 32 hexadecimal digits
 */
public record StreamKey(String text) {

    private static final int BYTES = 16;

    /** Checks the length and the digits. */
    public StreamKey {
        if (HexFormat.of().parseHex(text).length != BYTES) {
            throw new IllegalArgumentException("key of wrong length: " + text.length());
        }
    }

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

    static StreamKey of(byte[] bytes) {
        return new StreamKey(HexFormat.of().formatHex(bytes));
    }

    byte[] bytes() {
        return HexFormat.of().parseHex(text);
    }
}
