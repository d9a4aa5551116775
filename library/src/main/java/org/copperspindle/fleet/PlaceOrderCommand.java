package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Commits an order before it is sent. Takes the place of an order still open at the same upstream.
 *
 * @param upstreamId upstream that is meant
 * @param term term of the proposer
 * @param kind what to do
 * @param subject model, adapter, role or request that it is about
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
