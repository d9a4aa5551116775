package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * An order with its deadline in the agent's own clock, so that the agent can recognize a delayed copy without relying
 * on another VM's clock. Stamped by {@link AgentClock} just before it is sent.
 *
 * @param order           the order
 * @param expiresAtMicros the request's deadline in the agent's clock
 * @param clockMicros     the agent's clock reading that the deadline was computed from
 */
public record StampedOrderMessage(AttemptOrderMessage order, long expiresAtMicros, long clockMicros)
        implements WireMessage {

    /** Codec of this message: the fields of the order and two more. */
    public static final MessageCodec<StampedOrderMessage> CODEC =
            MessageCodec.of(111, StampedOrderMessage.class, StampedOrderMessage::write, StampedOrderMessage::read);

    private static final int EXPIRES_AT = 100;
    private static final int CLOCK = 101;

    /**
     * Returns the identity of the attempt.
     *
     * @return the attempt id of the order
     */
    public String attemptId() {
        return order.attemptId();
    }

    private void write(FieldWriter out) {
        order.write(out);
        out.put(EXPIRES_AT, expiresAtMicros).put(CLOCK, clockMicros);
    }

    private static StampedOrderMessage read(FieldReader in) {
        return new StampedOrderMessage(AttemptOrderMessage.read(in), in.getLong(EXPIRES_AT, 0), in.getLong(CLOCK, 0));
    }
}
