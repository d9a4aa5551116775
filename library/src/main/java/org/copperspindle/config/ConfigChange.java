package org.copperspindle.config;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A change that was decided, kept so that a resend gets the same answer.
 *
 * @param changeId       its identity
 * @param baseVersion    version that it was made from
 * @param operator       who asked
 * @param digest         SHA-256 of its text
 * @param accepted       whether it was accepted
 * @param version        the version that it made; if refused, the version that stood in its way
 * @param standingBy     if refused, who made that version
 * @param reason         if refused, why
 */
public record ConfigChange(
        String changeId,
        long baseVersion,
        String operator,
        byte[] digest,
        boolean accepted,
        long version,
        String standingBy,
        String reason)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ConfigChange> CODEC =
            MessageCodec.of(56, ConfigChange.class, ConfigChange::write, ConfigChange::read);

    private void write(FieldWriter out) {
        out.put(1, changeId)
                .put(2, baseVersion)
                .put(3, operator)
                .put(4, digest)
                .put(5, accepted)
                .put(6, version)
                .put(7, standingBy)
                .put(8, reason);
    }

    private static ConfigChange read(FieldReader in) {
        return new ConfigChange(
                in.getString(1),
                in.getLong(2, 0),
                in.getString(3),
                in.getBytes(4),
                in.getBoolean(5),
                in.getLong(6, 0),
                in.getString(7),
                in.getString(8));
    }
}
