package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Acknowledges the receipt of an outcome, which the agent may then forget.
 *
 * @param attemptId the attempt
 */
public record OutcomeAckMessage(String attemptId) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OutcomeAckMessage> CODEC =
            MessageCodec.of(34, OutcomeAckMessage.class, OutcomeAckMessage::write, OutcomeAckMessage::read);

    private void write(FieldWriter out) {
        out.put(1, attemptId);
    }

    private static OutcomeAckMessage read(FieldReader in) {
        return new OutcomeAckMessage(in.getString(1));
    }
}
