package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Asks the leader for the fencing number that orders must exceed. Sent by an agent that has just started.
 *
 * @param upstreamId upstream of the agent
 * @param incarnation incarnation of the agent
 */
public record FenceQueryMessage(String upstreamId, long incarnation) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<FenceQueryMessage> CODEC =
            MessageCodec.of(92, FenceQueryMessage.class, FenceQueryMessage::write, FenceQueryMessage::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, incarnation);
    }

    private static FenceQueryMessage read(FieldReader in) {
        return new FenceQueryMessage(in.getString(1), in.getLong(2, 0));
    }
}
