package org.copperspindle.version;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Request of a node to the leader for a lease on the newest state.
 *
 * @param sequence number of the request, to match its response
 * @param held     version that the node holds, 0 if none
 * @param revision revision of the evacuations that the node holds, 0 before the first
 */
public record VersionLeaseRequestMessage(long sequence, long held, long revision) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<VersionLeaseRequestMessage> CODEC = MessageCodec.of(
            211, VersionLeaseRequestMessage.class, VersionLeaseRequestMessage::write, VersionLeaseRequestMessage::read);

    private void write(FieldWriter out) {
        out.put(1, sequence).put(2, held).put(3, revision);
    }

    private static VersionLeaseRequestMessage read(FieldReader in) {
        return new VersionLeaseRequestMessage(in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0));
    }
}
