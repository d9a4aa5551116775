package org.copperspindle.discovery;

import org.copperspindle.digest.ContentDigest;

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
        return new SoftwareVersion(plain ? announced : "sha256:" + ContentDigest.of(announced));
    }
}
