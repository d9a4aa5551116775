package org.copperspindle.overload;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Tells the other nodes whether the sender is overloaded.
 *
 * @param overloaded true if it closes new connections
 */
public record OverloadMessage(boolean overloaded) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OverloadMessage> CODEC =
            MessageCodec.of(260, OverloadMessage.class, OverloadMessage::write, OverloadMessage::read);

    private void write(FieldWriter out) {
        out.put(1, overloaded);
    }

    private static OverloadMessage read(FieldReader in) {
        return new OverloadMessage(in.getBoolean(1));
    }
}
