package org.copperspindle.digest;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Half of a SHA-256 over several parts, long enough to make forged collisions infeasible.
 */
public final class ContentDigest {

    private static final int BYTES = 16;

    private ContentDigest() {}

    /**
     * Computes the digest of some texts.
     *
     * @param parts the texts, in order
     * @return 32 hexadecimal digits, equal for equal texts in the same order only
     */
    public static String of(String... parts) {
        return of(Arrays.stream(parts)
                .map(part -> part.getBytes(StandardCharsets.UTF_8))
                .toArray(byte[][]::new));
    }

    /**
     * Computes the digest of some contents.
     *
     * @param parts the contents, in order
     * @return 32 hexadecimal digits, equal for equal contents in the same order only
     */
    public static String of(byte[]... parts) {
        MessageDigest hash = sha256();
        for (byte[] part : parts) {
            // The length as a prefix makes the boundary between two parts unambiguous.
            hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
            hash.update(part);
        }
        return HexFormat.of().formatHex(Arrays.copyOf(hash.digest(), BYTES));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
