package org.copperspindle.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Identifies the content of a request independent of the attempt that carries it: a digest of the client account, the
 * method, the host, the target and the body. Request ids, times and other header fields differ between attempts and
 * are left out. The body cannot be recovered from the digest.
 *
 * @param text 32 hexadecimal digits: half of a SHA-256, long enough to make forged collisions infeasible
 */
public record RequestDigest(String text) {

    private static final int BYTES = 16;

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
        MessageDigest hash = sha256();
        for (String part : new String[] {account, method, host, uri}) {
            add(hash, part.getBytes(StandardCharsets.UTF_8));
        }
        add(hash, body);
        return new RequestDigest(HexFormat.of().formatHex(Arrays.copyOf(hash.digest(), BYTES)));
    }

    /** Adds a part with its length as a prefix, so that the boundary between two parts is unambiguous. */
    private static void add(MessageDigest hash, byte[] part) {
        hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
        hash.update(part);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
