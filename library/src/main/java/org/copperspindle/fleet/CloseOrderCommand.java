package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Records the outcome of an order and closes it.
 *
 * @param upstreamId upstream of the order
 * @param sequence sequence number of the order
 * @param outcome its outcome
 * @param reason reason of the outcome, for operators
 */
public record CloseOrderCommand(String upstreamId, long sequence, OrderOutcome outcome, String reason)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<CloseOrderCommand> CODEC =
            MessageCodec.of(100, CloseOrderCommand.class, CloseOrderCommand::write, CloseOrderCommand::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, sequence).put(3, outcome.name()).put(4, reason);
    }

    private static CloseOrderCommand read(FieldReader in) {
        return new CloseOrderCommand(
                in.getString(1), in.getLong(2, 0), OrderOutcome.valueOf(in.getString(3)), in.getString(4));
    }
}
