package org.copperspindle.backpressure;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Requests a permit to send one request to an upstream from the owner of its limit.
 *
 * @param number        number of the request at the requesting node
 * @param upstream      id of the upstream
 * @param maxWaitMillis milliseconds within which the permit must become valid
 */
public record PermitRequestMessage(long number, String upstream, long maxWaitMillis) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PermitRequestMessage> CODEC =
            MessageCodec.of(228, PermitRequestMessage.class, PermitRequestMessage::write, PermitRequestMessage::read);

    private void write(FieldWriter out) {
        out.put(1, number).put(2, upstream).put(3, maxWaitMillis);
    }

    private static PermitRequestMessage read(FieldReader in) {
        return new PermitRequestMessage(in.getLong(1, 0), in.getString(2), in.getLong(3, 0));
    }
}
