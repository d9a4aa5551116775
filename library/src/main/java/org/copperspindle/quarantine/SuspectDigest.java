package org.copperspindle.quarantine;

import java.nio.charset.StandardCharsets;

import org.copperspindle.digest.ContentDigest;

/**
 * Identifies what may crash upstreams: the content of a request, independent of the attempt that carries it, or a part
 * of prompts, independent of the requests that hold it. Request ids, times and other header fields differ between
 * attempts and are left out. A body cannot be recovered from its digest.
 *
 * @param text 32 hexadecimal digits: half of a SHA-256, long enough to make forged collisions infeasible
 */
public record SuspectDigest(String text) {

    /** Keeps digests of prompt parts apart from digests of requests. */
    private static final String PROMPT_PART = "prompt-part";

    private static final int ABBREVIATED_DIGITS = 8;

    /**
     * Computes the digest of a request.
     *
     * @param account name of the client account, empty for a caller without one
     * @param method  HTTP method
     * @param host    host named by the request
     * @param uri     target as given in the request line
     * @param body    body, empty for none
     * @return the digest, equal for equal arguments only
     */
    public static SuspectDigest ofRequest(String account, String method, String host, String uri, byte[] body) {
        return new SuspectDigest(ContentDigest.of(
                account.getBytes(StandardCharsets.UTF_8),
                method.getBytes(StandardCharsets.UTF_8),
                host.getBytes(StandardCharsets.UTF_8),
                uri.getBytes(StandardCharsets.UTF_8),
                body));
    }

    /**
     * Computes the digest of a part of prompts. It may crash the upstreams of one pool and be harmless at another.
     *
     * @param pool pool that runs the requests
     * @param part id of the part
     * @return the digest, equal for equal arguments only
     */
    static SuspectDigest ofPromptPart(String pool, String part) {
        return new SuspectDigest(ContentDigest.of(PROMPT_PART, pool, part));
    }

    /** Returns a short form that tells a few requests apart. */
    String abbreviated() {
        return text.substring(0, Math.min(ABBREVIATED_DIGITS, text.length()));
    }
}
