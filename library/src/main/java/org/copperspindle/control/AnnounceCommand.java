package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Records an announcement of an agent.
 *
 * @param announcement encoded announcement
 */
public record AnnounceCommand(byte[] announcement) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AnnounceCommand> CODEC =
            MessageCodec.of(51, AnnounceCommand.class, AnnounceCommand::write, AnnounceCommand::read);

    private void write(FieldWriter out) {
        out.put(1, announcement);
    }

    private static AnnounceCommand read(FieldReader in) {
        return new AnnounceCommand(in.getBytes(1));
    }
}
