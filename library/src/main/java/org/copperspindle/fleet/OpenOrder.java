package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A committed order whose outcome has not been committed yet.
 *
 * @param upstreamId upstream of the order
 * @param term term in which it was issued
 * @param sequence its sequence number
 * @param kind operation
 * @param subject model, adapter, role or request that the operation applies to
 */
public record OpenOrder(String upstreamId, long term, long sequence, OrderKind kind, String subject)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OpenOrder> CODEC =
            MessageCodec.of(102, OpenOrder.class, OpenOrder::write, OpenOrder::read);

    /**
     * Returns the identity of the order; orders with the same identity are duplicates.
     *
     * @return upstream and sequence number
     */
    public String orderId() {
        return upstreamId + "/" + sequence;
    }

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, term).put(3, sequence).put(4, kind.name()).put(5, subject);
    }

    private static OpenOrder read(FieldReader in) {
        return new OpenOrder(
                in.getString(1),
                in.getLong(2, 0),
                in.getLong(3, 0),
                OrderKind.valueOf(in.getString(4)),
                in.getString(5));
    }
}
