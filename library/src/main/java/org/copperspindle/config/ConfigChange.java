package org.copperspindle.config;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The decision on a proposed configuration change, kept so that a retry gets the same result.
 *
 * @param changeId            identifier of the change
 * @param baseVersion         version that the change is based on
 * @param operator            operator who proposed it
 * @param digest              SHA-256 of the proposed text
 * @param accepted            whether it was accepted
 * @param version             version that it created; if refused, the conflicting version
 * @param conflictingOperator if refused, operator who created the conflicting version
 * @param reason              if refused, the reason
 */
public record ConfigChange(
        String changeId,
        long baseVersion,
        String operator,
        byte[] digest,
        boolean accepted,
        long version,
        String conflictingOperator,
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
                .put(7, conflictingOperator)
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
