package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Acknowledges an {@link OrderReportMessage} once it is committed.
 *
 * @param upstreamId upstream of the order
 * @param sequence sequence number of the order
 */
public record OrderReportAckMessage(String upstreamId, long sequence) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OrderReportAckMessage> CODEC = MessageCodec.of(
            101, OrderReportAckMessage.class, OrderReportAckMessage::write, OrderReportAckMessage::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, sequence);
    }

    private static OrderReportAckMessage read(FieldReader in) {
        return new OrderReportAckMessage(in.getString(1), in.getLong(2, 0));
    }
}
