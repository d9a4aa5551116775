package org.copperspindle.mesh;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A message between two nodes without a direct connection, relayed by a node that is connected to both.
 *
 * @param from    name of the sending node
 * @param to      name of the receiving node
 * @param payload the encoded message
 */
public record RelayMessage(String from, String to, byte[] payload) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<RelayMessage> CODEC =
            MessageCodec.of(201, RelayMessage.class, RelayMessage::write, RelayMessage::read);

    private void write(FieldWriter out) {
        out.put(1, from).put(2, to).put(3, payload);
    }

    private static RelayMessage read(FieldReader in) {
        return new RelayMessage(in.getString(1), in.getString(2), in.getBytes(3));
    }
}
