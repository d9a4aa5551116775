package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * One chunk of a streamed response.
 *
 * @param attemptId the attempt
 * @param sequence number of the chunk, from 0 without gaps
 * @param data the chunk
 */
public record AttemptChunkMessage(String attemptId, long sequence, byte[] data) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AttemptChunkMessage> CODEC =
            MessageCodec.of(32, AttemptChunkMessage.class, AttemptChunkMessage::write, AttemptChunkMessage::read);

    private void write(FieldWriter out) {
        out.put(1, attemptId).put(2, sequence).put(3, data);
    }

    private static AttemptChunkMessage read(FieldReader in) {
        return new AttemptChunkMessage(in.getString(1), in.getLong(2, 0), in.getBytes(3));
    }
}
