package org.copperspindle.discovery;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Version of the software of an upstream, as the upstream announces it. Versions have no order; they are equal or not.
 * It is unrelated to the versions of models and of route tables.
 *
 * @param text printable text without spaces, at most {@link #MAX_LENGTH} characters; empty if the upstream announces
 *     none
 */
public record SoftwareVersion(String text) {

    /** Version of all upstreams that announce none. */
    public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    /** Longest text that is kept as it was announced. */
    static final int MAX_LENGTH = 48;

    private static final int DIGEST_BYTES = 16;

    /**
     * Returns the version that an upstream announces. A text that is too long, or that can't be written to a log line,
     * is replaced by its digest: two different texts must remain different versions.
     *
     * @param announced the text as received
     * @return the version
     */
    public static SoftwareVersion of(String announced) {
        if (announced.isEmpty()) {
            return UNSTATED;
        }
        boolean plain = announced.length() <= MAX_LENGTH && announced.chars().allMatch(c -> c > ' ' && c < 0x7f);
        return new SoftwareVersion(plain ? announced : digest(announced));
    }

    private static String digest(String announced) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(announced.getBytes(StandardCharsets.UTF_8));
            return "sha256:" + HexFormat.of().formatHex(Arrays.copyOf(hash, DIGEST_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
