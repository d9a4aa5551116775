package org.copperspindle.batch;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The number of pieces that the requests of a node will still send to a pool; sent to the dispatcher of the pool.
 *
 * @param pool   name of the pool
 * @param pieces number of pieces of stages that have not started yet
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
