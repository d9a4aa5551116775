package org.copperspindle.backpressure;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Asks the keeper of an upstream for a permit to send it one request.
 *
 * @param number      number of the question at the node that asks
 * @param upstream    id of the upstream
 * @param longestWait milliseconds after which the permit must be valid
 */
public record PermitRequestMessage(long number, String upstream, long longestWait) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PermitRequestMessage> CODEC =
            MessageCodec.of(228, PermitRequestMessage.class, PermitRequestMessage::write, PermitRequestMessage::read);

    private void write(FieldWriter out) {
        out.put(1, number).put(2, upstream).put(3, longestWait);
    }

    private static PermitRequestMessage read(FieldReader in) {
        return new PermitRequestMessage(in.getLong(1, 0), in.getString(2), in.getLong(3, 0));
    }
}
