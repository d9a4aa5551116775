package org.copperspindle.mesh;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The nodes that a node is connected to, so that other nodes can discover them. Sent on a new connection and on
 * changes. It is separate from the hello because the total size of all lists sent with every hello would grow with
 * the cube of the number of nodes.
 *
 * @param nodes node addresses
 */
public record NodeListMessage(List<String> nodes) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<NodeListMessage> CODEC =
            MessageCodec.of(209, NodeListMessage.class, NodeListMessage::write, NodeListMessage::read);

    /** Copies the list. */
    public NodeListMessage {
        nodes = List.copyOf(nodes);
    }

    private void write(FieldWriter out) {
        out.putStrings(1, nodes);
    }

    private static NodeListMessage read(FieldReader in) {
        return new NodeListMessage(in.getStrings(1));
    }
}
