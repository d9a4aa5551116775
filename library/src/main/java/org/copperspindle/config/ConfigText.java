package org.copperspindle.config;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses and digests configuration texts.
 */
public final class ConfigText {

    /** Longest text that is taken, in bytes; its compressed form fits a frame with room to spare. */
    public static final int MAX_BYTES = 4 << 20;

    private static final int BLOCK = 8192;

    private ConfigText() {}

    /**
     * Compresses bytes.
     *
     * @param plain the bytes
     * @return their zlib form
     */
    public static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] block = new byte[BLOCK];
            while (!deflater.finished()) {
                out.write(block, 0, deflater.deflate(block));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Undoes {@link #deflate}.
     *
     * @param packed the zlib form
     * @return the bytes
     * @throws IllegalArgumentException if it is damaged, or longer than {@link #MAX_BYTES} when unpacked
     */
    public static byte[] inflate(byte[] packed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] block = new byte[BLOCK];
            while (!inflater.finished()) {
                int count = inflater.inflate(block);
                boolean cutOff = count == 0 && !inflater.finished();
                if (cutOff || out.size() + count > MAX_BYTES) {
                    throw new IllegalArgumentException("compressed text is cut off or too long");
                }
                out.write(block, 0, count);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("compressed text is damaged", e);
        } finally {
            inflater.end();
        }
    }

    /**
     * Digests bytes.
     *
     * @param plain the bytes
     * @return their SHA-256
     */
    public static byte[] digest(byte[] plain) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(plain);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * Returns the bytes of a text.
     *
     * @param text the text
     * @return its UTF-8 form
     */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
