package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Reports the outcome of an order to the leader. Sent repeatedly until it is acknowledged.
 *
 * @param upstreamId upstream of the order
 * @param incarnation incarnation of the agent
 * @param sequence sequence number of the order
 * @param outcome its outcome
 * @param reason reason of the outcome, for operators
 */
public record OrderReportMessage(
        String upstreamId, long incarnation, long sequence, OrderOutcome outcome, String reason)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OrderReportMessage> CODEC =
            MessageCodec.of(91, OrderReportMessage.class, OrderReportMessage::write, OrderReportMessage::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId)
                .put(2, incarnation)
                .put(3, sequence)
                .put(4, outcome.name())
                .put(5, reason);
    }

    private static OrderReportMessage read(FieldReader in) {
        return new OrderReportMessage(
                in.getString(1),
                in.getLong(2, 0),
                in.getLong(3, 0),
                OrderOutcome.valueOf(in.getString(4)),
                in.getString(5));
    }
}
