package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * First message of an entry on a connection to an agent: subscribes to {@link LoadReportMessage}s, the first of which
 * is sent at once.
 */
public record LoadSubscribeMessage() implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LoadSubscribeMessage> CODEC =
            MessageCodec.of(110, LoadSubscribeMessage.class, LoadSubscribeMessage::write, LoadSubscribeMessage::read);

    private void write(FieldWriter out) {
        // no fields yet
    }

    private static LoadSubscribeMessage read(FieldReader in) {
        return new LoadSubscribeMessage();
    }
}
