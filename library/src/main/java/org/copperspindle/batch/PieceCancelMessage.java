package org.copperspindle.batch;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Cancels a group whose results are no longer needed: waiting pieces are dropped, and results of running ones are
 * released.
 *
 * @param group id of the group at the node that sent it
 */
public record PieceCancelMessage(long group) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PieceCancelMessage> CODEC =
            MessageCodec.of(233, PieceCancelMessage.class, PieceCancelMessage::write, PieceCancelMessage::read);

    private void write(FieldWriter out) {
        out.put(1, group);
    }

    private static PieceCancelMessage read(FieldReader in) {
        return new PieceCancelMessage(in.getLong(1, 0));
    }
}
