package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Claims an unrepeatable stage.
 *
 * @param claim encoded {@link org.copperspindle.claims.ClaimRequestMessage}
 * @param atMillis time at which the leader proposed it, by {@link org.copperspindle.claims.LogClock}
 */
public record ClaimCommand(byte[] claim, long atMillis) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ClaimCommand> CODEC =
            MessageCodec.of(53, ClaimCommand.class, ClaimCommand::write, ClaimCommand::read);

    private void write(FieldWriter out) {
        out.put(1, claim).put(2, atMillis);
    }

    private static ClaimCommand read(FieldReader in) {
        return new ClaimCommand(in.getBytes(1), in.getLong(2, 0));
    }
}
