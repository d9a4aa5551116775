package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Instructs an engine, through its agent, to change what it serves. The order is committed in the log before it is
 * sent.
 *
 * @param upstreamId target upstream
 * @param agentIncarnation incarnation of the target agent; another incarnation refuses the order
 * @param term term of the leader that issued the order
 * @param sequence index of the order's log record; increases with each order, also across leaders
 * @param kind operation
 * @param subject model, adapter, role or request that the operation applies to
 * @param weightsPath directory of adapters on the file system of the engine
 */
public record OrderMessage(
        String upstreamId,
        long agentIncarnation,
        long term,
        long sequence,
        OrderKind kind,
        String subject,
        String weightsPath)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OrderMessage> CODEC =
            MessageCodec.of(90, OrderMessage.class, OrderMessage::write, OrderMessage::read);

    /**
     * Returns the identity of the order; orders with the same identity are duplicates.
     *
     * @return upstream and sequence number
     */
    public String orderId() {
        return upstreamId + "/" + sequence;
    }

    private void write(FieldWriter out) {
        out.put(1, upstreamId)
                .put(2, agentIncarnation)
                .put(3, term)
                .put(4, sequence)
                .put(5, kind.name())
                .put(6, subject)
                .put(7, weightsPath);
    }

    private static OrderMessage read(FieldReader in) {
        return new OrderMessage(
                in.getString(1),
                in.getLong(2, 0),
                in.getLong(3, 0),
                in.getLong(4, 0),
                OrderKind.valueOf(in.getString(5)),
                in.getString(6),
                in.getString(7));
    }
}
