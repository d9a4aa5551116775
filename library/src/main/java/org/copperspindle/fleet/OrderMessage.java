package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Orders an engine, through the agent beside it, to change what it serves. The order is committed in the log before it is sent.
 *
 * @param upstreamId upstream that is meant
 * @param agentIncarnation life of the agent that is meant; another life refuses
 * @param term term of the leader that gave the order
 * @param sequence index of the order's log record; larger for each later order, also across leaders
 * @param kind what to do
 * @param subject model, adapter, role or request that it is about
 * @param weightsPath folder of adapters as the engine sees it
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
     * Returns the identity of the order; an order with the same one is a copy.
     *
     * @return upstream and sequence
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
