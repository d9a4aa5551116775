package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Commits an order before it is sent. Replaces an order that is still open at the same upstream.
 *
 * @param upstreamId target upstream
 * @param term term of the proposer
 * @param kind operation
 * @param subject model, adapter, role or request that the operation applies to
 */
public record PlaceOrderCommand(String upstreamId, long term, OrderKind kind, String subject) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PlaceOrderCommand> CODEC =
            MessageCodec.of(99, PlaceOrderCommand.class, PlaceOrderCommand::write, PlaceOrderCommand::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, term).put(3, kind.name()).put(4, subject);
    }

    private static PlaceOrderCommand read(FieldReader in) {
        return new PlaceOrderCommand(
                in.getString(1), in.getLong(2, 0), OrderKind.valueOf(in.getString(3)), in.getString(4));
    }
}
