package org.copperspindle.admission;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Cancels a start request whose caller has disconnected, or that its node has decided itself.
 *
 * @param id id of the start request at the node that sent it
 */
public record StartCancelMessage(long id) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<StartCancelMessage> CODEC =
            MessageCodec.of(242, StartCancelMessage.class, StartCancelMessage::write, StartCancelMessage::read);

    private void write(FieldWriter out) {
        out.put(1, id);
    }

    private static StartCancelMessage read(FieldReader in) {
        return new StartCancelMessage(in.getLong(1, 0));
    }
}
