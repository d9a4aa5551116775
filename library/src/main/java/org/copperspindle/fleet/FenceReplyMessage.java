package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Response to a {@link FenceQueryMessage}, sent once the query is committed in the log.
 *
 * @param upstreamId the upstream
 * @param incarnation incarnation of the agent that sent the query
 * @param term term of the leader
 * @param sequence orders with this number or a lower one are invalid
 */
public record FenceReplyMessage(String upstreamId, long incarnation, long term, long sequence) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<FenceReplyMessage> CODEC =
            MessageCodec.of(93, FenceReplyMessage.class, FenceReplyMessage::write, FenceReplyMessage::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, incarnation).put(3, term).put(4, sequence);
    }

    private static FenceReplyMessage read(FieldReader in) {
        return new FenceReplyMessage(in.getString(1), in.getLong(2, 0), in.getLong(3, 0), in.getLong(4, 0));
    }
}
