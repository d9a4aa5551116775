package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Queries an agent for the outcome of an attempt, which another entry may have dispatched. The outcome of a running
 * attempt is sent when it ends. If the agent can prove that an unknown attempt never ran, it refuses it from then on
 * and responds {@code NOT_RUN}; otherwise it responds {@code MAY_HAVE_RUN}.
 *
 * @param attemptId the attempt
 * @param agentIncarnation incarnation of the agent that the attempt was dispatched to, 0 if not known; without
 *     it the agent can't prove that the attempt never ran
 * @param clockMicros a reading of that incarnation's clock from before the attempt was dispatched, 0 if not known
 * @param unrepeatable whether the attempt is known to be unrepeatable; records of those are kept longer
 */
public record OutcomeQueryMessage(String attemptId, long agentIncarnation, long clockMicros, boolean unrepeatable)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OutcomeQueryMessage> CODEC =
            MessageCodec.of(35, OutcomeQueryMessage.class, OutcomeQueryMessage::write, OutcomeQueryMessage::read);

    /**
     * Creates a query without a reading of the agent's clock.
     *
     * @param attemptId        the attempt
     * @param agentIncarnation incarnation of the agent that the attempt was dispatched to, 0 if not known
     */
    public OutcomeQueryMessage(String attemptId, long agentIncarnation) {
        this(attemptId, agentIncarnation, 0, false);
    }

    private void write(FieldWriter out) {
        out.put(1, attemptId).put(2, agentIncarnation).put(3, clockMicros).put(4, unrepeatable);
    }

    private static OutcomeQueryMessage read(FieldReader in) {
        return new OutcomeQueryMessage(in.getString(1), in.getLong(2, 0), in.getLong(3, 0), in.getBoolean(4));
    }
}
