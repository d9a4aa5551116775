package org.copperspindle.version;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A node asks the leader whether it holds what is newest.
 *
 * @param sequence number of the question, to match its answer
 * @param held     version that the node holds, 0 if none
 * @param revision revision of the evacuations that it holds, 0 before the first
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
