package org.copperspindle.control;

import org.copperspindle.config.ConfigPatch;
import org.copperspindle.config.ConfigText;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Replaces the whole configuration by one that was made from a given version. The text is compressed in the log.
 *
 * @param changeId identity of the change; repeating it repeats the first result
 * @param baseVersion version that it was made from
 * @param operator operator who requested it
 * @param text the whole INI text
 */
public record ApplyConfigCommand(String changeId, long baseVersion, String operator, String text)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ApplyConfigCommand> CODEC =
            MessageCodec.of(50, ApplyConfigCommand.class, ApplyConfigCommand::write, ApplyConfigCommand::read);

    private void write(FieldWriter out) {
        out.put(1, changeId)
                .put(2, baseVersion)
                .put(3, operator)
                .put(5, ConfigText.deflate(ConfigText.encodeUtf8(text)));
    }

    private static ApplyConfigCommand read(FieldReader in) {
        return new ApplyConfigCommand(
                in.getString(1),
                in.getLong(2, 0),
                in.getString(3),
                ConfigPatch.decodeUtf8(ConfigText.inflate(in.getBytes(5))));
    }
}
