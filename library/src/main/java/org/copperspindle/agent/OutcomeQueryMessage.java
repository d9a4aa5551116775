package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Asks an agent for the outcome of an attempt that another entry dispatched. An unknown attempt is refused for good and answered {@code NOT_RUN}.
 *
 * @param attemptId the attempt
 * @param agentIncarnation life of the agent that the attempt was dispatched to, 0 if not known
 */
public record OutcomeQueryMessage(String attemptId, long agentIncarnation) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OutcomeQueryMessage> CODEC =
            MessageCodec.of(35, OutcomeQueryMessage.class, OutcomeQueryMessage::write, OutcomeQueryMessage::read);

    private void write(FieldWriter out) {
        out.put(1, attemptId).put(2, agentIncarnation);
    }

    private static OutcomeQueryMessage read(FieldReader in) {
        return new OutcomeQueryMessage(in.getString(1), in.getLong(2, 0));
    }
}
