package org.copperspindle.batch;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * How many pieces the requests of a node will still send to a pool, told to the node that packs the pool's calls.
 *
 * @param pool   name of the pool
 * @param pieces pieces of stages that have not begun yet
 */
public record ExpectedPiecesMessage(String pool, long pieces) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ExpectedPiecesMessage> CODEC = MessageCodec.of(
            236, ExpectedPiecesMessage.class, ExpectedPiecesMessage::write, ExpectedPiecesMessage::read);

    private void write(FieldWriter out) {
        out.put(1, pool).put(2, pieces);
    }

    private static ExpectedPiecesMessage read(FieldReader in) {
        return new ExpectedPiecesMessage(in.getString(1), in.getLong(2, 0));
    }
}
