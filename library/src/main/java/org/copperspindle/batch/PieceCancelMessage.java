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
 * @param moved true if another node dispatches the group now, so that its inputs are still needed
 */
public record PieceCancelMessage(long group, boolean moved) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PieceCancelMessage> CODEC =
            MessageCodec.of(233, PieceCancelMessage.class, PieceCancelMessage::write, PieceCancelMessage::read);

    private void write(FieldWriter out) {
        out.put(1, group);
        if (moved) {
            out.put(2, true);
        }
    }

    private static PieceCancelMessage read(FieldReader in) {
        return new PieceCancelMessage(in.getLong(1, 0), in.getBoolean(2));
    }
}
