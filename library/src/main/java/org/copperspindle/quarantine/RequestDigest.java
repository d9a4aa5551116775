package org.copperspindle.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Names what a caller asked for, whichever attempt of the caller brings it: the client account, the method, the host, the
 * target and the body. Identities, times and other header fields differ between attempts and are left out. The body can't be
 * read from it.
 *
 * @param text 32 hexadecimal digits: half of a SHA-256, so that nobody can make another request have the same
 */
public record RequestDigest(String text) {

    private static final int BYTES = 16;

    /**
     * Computes the digest of a request.
     *
     * @param account name of the client account, empty for a caller without one
     * @param method  HTTP method
     * @param host    host that the request names
     * @param uri     target as it stood in the request line
     * @param body    body, empty for none
     * @return equal for equal arguments only
     */
    public static RequestDigest of(String account, String method, String host, String uri, byte[] body) {
        MessageDigest hash = sha256();
        for (String part : new String[] {account, method, host, uri}) {
            add(hash, part.getBytes(StandardCharsets.UTF_8));
        }
        add(hash, body);
        return new RequestDigest(HexFormat.of().formatHex(Arrays.copyOf(hash.digest(), BYTES)));
    }

    /** The length goes first, so that no part can reach into the next one. */
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
