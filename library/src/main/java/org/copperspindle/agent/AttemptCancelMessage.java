package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Cancels an attempt whose outcome nobody waits for.
 *
 * @param attemptId the attempt
 */
public record AttemptCancelMessage(String attemptId) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AttemptCancelMessage> CODEC =
            MessageCodec.of(31, AttemptCancelMessage.class, AttemptCancelMessage::write, AttemptCancelMessage::read);

    private void write(FieldWriter out) {
        out.put(1, attemptId);
    }

    private static AttemptCancelMessage read(FieldReader in) {
        return new AttemptCancelMessage(in.getString(1));
    }
}
