package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Records how a claimed attempt ended.
 *
 * @param settle encoded {@link org.copperspindle.claims.ClaimSettleMessage}
 */
public record SettleCommand(byte[] settle) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<SettleCommand> CODEC =
            MessageCodec.of(54, SettleCommand.class, SettleCommand::write, SettleCommand::read);

    private void write(FieldWriter out) {
        out.put(1, settle);
    }

    private static SettleCommand read(FieldReader in) {
        return new SettleCommand(in.getBytes(1));
    }
}
