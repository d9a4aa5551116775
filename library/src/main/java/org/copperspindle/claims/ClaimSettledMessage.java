package org.copperspindle.claims;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Confirms that a {@link ClaimSettleMessage} is committed. Only then may the agent be told to forget the outcome.
 *
 * @param correlation number of the settlement
 */
public record ClaimSettledMessage(long correlation) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ClaimSettledMessage> CODEC =
            MessageCodec.of(23, ClaimSettledMessage.class, ClaimSettledMessage::write, ClaimSettledMessage::read);

    private void write(FieldWriter out) {
        out.put(1, correlation);
    }

    private static ClaimSettledMessage read(FieldReader in) {
        return new ClaimSettledMessage(in.getLong(1, 0));
    }
}
