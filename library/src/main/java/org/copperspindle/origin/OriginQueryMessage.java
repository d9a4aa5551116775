package org.copperspindle.origin;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Question of a node at which a caller takes a stream up.
 *
 * @param query number of the query at the asking node
 * @param key   the stream
 * @param pool  its pool
 */
public record OriginQueryMessage(long query, StreamKey key, String pool) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OriginQueryMessage> CODEC =
            MessageCodec.of(252, OriginQueryMessage.class, OriginQueryMessage::write, OriginQueryMessage::read);

    private void write(FieldWriter out) {
        out.put(1, query).put(2, key.text()).put(3, pool);
    }

    private static OriginQueryMessage read(FieldReader in) {
        return new OriginQueryMessage(in.getLong(1, 0), new StreamKey(in.getString(2)), in.getString(3));
    }
}
