package org.copperspindle.mesh;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * State of a node, sent on each new connection and whenever it changes.
 *
 * @param control       IP:PORT at which operators and upstreams reach it
 * @param failureDomain its failure domain
 * @param durable       true if it has a disk and may therefore be a member of the control group
 * @param serving       true if it accepts work for others; false while it starts or stops
 * @param inControlGroup       true if it already belongs to a control group
 * @param term          term of the leader known to it, 0 if none
 * @param leader        node address of that leader, empty if none
 * @param version       version of the route table that it holds, 0 if none
 * @param fitness       suitability as dispatcher of batched calls for all nodes, higher is better
 */
public record NodeHelloMessage(
        String control,
        String failureDomain,
        boolean durable,
        boolean serving,
        boolean inControlGroup,
        long term,
        String leader,
        long version,
        int fitness)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<NodeHelloMessage> CODEC =
            MessageCodec.of(200, NodeHelloMessage.class, NodeHelloMessage::write, NodeHelloMessage::read);

    private void write(FieldWriter out) {
        out.put(1, control)
                .put(2, failureDomain)
                .put(3, durable)
                .put(4, serving)
                .put(5, inControlGroup)
                .put(6, term)
                .put(7, leader)
                .put(8, version)
                .put(10, fitness);
    }

    private static NodeHelloMessage read(FieldReader in) {
        return new NodeHelloMessage(
                in.getString(1),
                in.getString(2),
                in.getBoolean(3),
                in.getBoolean(4),
                in.getBoolean(5),
                in.getLong(6, 0),
                in.getString(7),
                in.getLong(8, 0),
                (int) in.getLong(10, 0));
    }
}
