package org.copperspindle.config;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Encodes, compresses and hashes configuration texts.
 */
public final class ConfigText {

    /** Maximum length of a text in bytes; its compressed form fits into one frame with a margin. */
    public static final int MAX_BYTES = 4 << 20;

    private static final int BUFFER_BYTES = 8192;

    private ConfigText() {}

    /**
     * Compresses bytes.
     *
     * @param plain the bytes
     * @return the compressed bytes in zlib format
     */
    public static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses the output of {@link #deflate}.
     *
     * @param compressed bytes in zlib format
     * @return the decompressed bytes
     * @throws IllegalArgumentException if the input is corrupt, or its decompressed form exceeds {@link #MAX_BYTES}
     */
    public static byte[] inflate(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean truncated = count == 0 && !inflater.finished();
                if (truncated || out.size() + count > MAX_BYTES) {
                    throw new IllegalArgumentException(
                            "compressed configuration is truncated or exceeds the maximum length");
                }
                out.write(buffer, 0, count);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("compressed configuration is corrupt", e);
        } finally {
            inflater.end();
        }
    }

    /**
     * Hashes bytes.
     *
     * @param plain the bytes
     * @return their SHA-256
     */
    public static byte[] digest(byte[] plain) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(plain);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }

    /**
     * Encodes a configuration text.
     *
     * @param text the text
     * @return its UTF-8 bytes
     */
    public static byte[] encodeUtf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
