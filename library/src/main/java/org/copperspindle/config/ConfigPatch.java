package org.copperspindle.config;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * One version of the configuration text as the difference from another: what both share at their start and end, and the
 * compressed middle. Most changes touch one section, so that a patch is small however long the text is. A patch from
 * version 0 carries the whole text.
 *
 * @param baseVersion version that it applies to, 0 for the empty text
 * @param version     version that it makes
 * @param prefix      bytes kept from the start of the base
 * @param suffix      bytes kept from the end of the base
 * @param middle      bytes between them, compressed
 * @param digest      SHA-256 of the whole text that it makes
 */
public record ConfigPatch(long baseVersion, long version, long prefix, long suffix, byte[] middle, byte[] digest)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ConfigPatch> CODEC =
            MessageCodec.of(84, ConfigPatch.class, ConfigPatch::write, ConfigPatch::read);

    /**
     * Makes a patch.
     *
     * @param baseVersion version of the base, 0 for none
     * @param base        its text in UTF-8, empty for none
     * @param version     version to make
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
     * Applies the patch. Safeguard: a base that is not the one meant would give a configuration that nobody accepted;
     * the digest of the result is checked, and a mismatch gives no text at all.
     *
     * @param base text of the base in UTF-8
     * @return the whole text in UTF-8; empty if the patch does not fit the base
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
     * Decodes a text.
     *
     * @param text its UTF-8 form
     * @return the text
     */
    public static String string(byte[] text) {
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
