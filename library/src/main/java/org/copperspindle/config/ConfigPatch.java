package org.copperspindle.config;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A version of the configuration text, encoded as the difference from a base version: the lengths of the common prefix
 * and suffix, and the compressed bytes between them. Most changes affect one section, so a patch is small however long
 * the text is. A patch from version 0 carries the whole text.
 *
 * @param baseVersion version that the patch applies to, 0 for the empty text
 * @param version     resulting version
 * @param prefix      bytes taken from the start of the base
 * @param suffix      bytes taken from the end of the base
 * @param middle      bytes between them, compressed
 * @param digest      SHA-256 of the whole resulting text
 */
public record ConfigPatch(long baseVersion, long version, long prefix, long suffix, byte[] middle, byte[] digest)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ConfigPatch> CODEC =
            MessageCodec.of(84, ConfigPatch.class, ConfigPatch::write, ConfigPatch::read);

    /**
     * Creates a patch.
     *
     * @param baseVersion version of the base, 0 for none
     * @param base        its text in UTF-8, empty for none
     * @param version     resulting version
     * @param text        its text in UTF-8
     * @return the patch
     */
    public static ConfigPatch between(long baseVersion, byte[] base, long version, byte[] text) {
        int limit = Math.min(base.length, text.length);
        int mismatch = Arrays.mismatch(base, text);
        int prefix = mismatch < 0 ? limit : mismatch;
        int suffix = 0;
        while (suffix < limit - prefix && base[base.length - 1 - suffix] == text[text.length - 1 - suffix]) {
            suffix++;
        }
        byte[] middle = Arrays.copyOfRange(text, prefix, text.length - suffix);
        return new ConfigPatch(
                baseVersion, version, prefix, suffix, ConfigText.deflate(middle), ConfigText.digest(text));
    }

    /**
     * Applies the patch and verifies the digest of the result. Applied to any other base, a patch would produce a
     * configuration that nobody accepted, so a mismatch yields no text.
     *
     * @param base text of the base in UTF-8
     * @return the whole text in UTF-8; empty if the patch does not match the base
     */
    public Optional<byte[]> apply(byte[] base) {
        if (prefix < 0 || suffix < 0 || prefix + suffix > base.length) {
            return Optional.empty();
        }
        byte[] plain = ConfigText.inflate(middle);
        int start = (int) prefix;
        int end = (int) suffix;
        byte[] text = Arrays.copyOf(base, start + plain.length + end);
        System.arraycopy(plain, 0, text, start, plain.length);
        System.arraycopy(base, base.length - end, text, start + plain.length, end);
        return Arrays.equals(ConfigText.digest(text), digest) ? Optional.of(text) : Optional.empty();
    }

    /**
     * Decodes a configuration text.
     *
     * @param text its UTF-8 bytes
     * @return the decoded text
     */
    public static String decodeUtf8(byte[] text) {
        return new String(text, StandardCharsets.UTF_8);
    }

    private void write(FieldWriter out) {
        out.put(1, baseVersion)
                .put(2, version)
                .put(3, prefix)
                .put(4, suffix)
                .put(5, middle)
                .put(6, digest);
    }

    private static ConfigPatch read(FieldReader in) {
        return new ConfigPatch(
                in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0), in.getLong(4, 0), in.getBytes(5), in.getBytes(6));
    }
}
