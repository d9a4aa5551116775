package org.copperspindle.version;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * One configuration version. Used as a command of the log, in its snapshots, and between nodes.
 *
 * @param version version number, above 0
 * @param text    the text exactly as the operator sent it
 */
public record VersionMessage(long version, byte[] text) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<VersionMessage> CODEC =
            MessageCodec.of(210, VersionMessage.class, VersionMessage::write, VersionMessage::read);

    private void write(FieldWriter out) {
        out.put(1, version).put(2, text);
    }

    private static VersionMessage read(FieldReader in) {
        return new VersionMessage(in.getLong(1, 0), in.getBytes(2));
    }
}
