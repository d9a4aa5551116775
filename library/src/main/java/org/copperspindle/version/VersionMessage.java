package org.copperspindle.version;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * One version of the configuration: a command of the log, its snapshot, and what nodes send each other.
 *
 * @param version its version, above 0
 * @param text    the text as the operator sent it, to be given back unchanged
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
