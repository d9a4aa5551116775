package org.copperspindle.quarantine;

import java.nio.charset.StandardCharsets;

import org.copperspindle.digest.ContentDigest;

/**
 * Identifies the content of a request independent of the attempt that carries it: a digest of the client account, the
 * method, the host, the target and the body. Request ids, times and other header fields differ between attempts and
 * are left out. The body cannot be recovered from the digest.
 *
 * @param text 32 hexadecimal digits: half of a SHA-256, long enough to make forged collisions infeasible
 */
public record RequestDigest(String text) {

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
    public static RequestDigest of(String account, String method, String host, String uri, byte[] body) {
        return new RequestDigest(ContentDigest.of(
                account.getBytes(StandardCharsets.UTF_8),
                method.getBytes(StandardCharsets.UTF_8),
                host.getBytes(StandardCharsets.UTF_8),
                uri.getBytes(StandardCharsets.UTF_8),
                body));
    }
}
