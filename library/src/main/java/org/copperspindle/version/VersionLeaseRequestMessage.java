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
 * @param software revision of the software versions in use that the node holds, 0 before the first;
 *                 -1 from a build that does not hold them
 */
public record VersionLeaseRequestMessage(long sequence, long held, long revision, long software)
        implements WireMessage {

    private static final long NO_SOFTWARE = -1;

    /** Codec of this message. */
    public static final MessageCodec<VersionLeaseRequestMessage> CODEC = MessageCodec.of(
            211, VersionLeaseRequestMessage.class, VersionLeaseRequestMessage::write, VersionLeaseRequestMessage::read);

    /** Returns whether the node's build holds software versions and can apply their changes. */
    boolean readsSoftware() {
        return software != NO_SOFTWARE;
    }

    private void write(FieldWriter out) {
        out.put(1, sequence).put(2, held).put(3, revision).put(4, software);
    }

    private static VersionLeaseRequestMessage read(FieldReader in) {
        return new VersionLeaseRequestMessage(
                in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0), in.getLong(4, NO_SOFTWARE));
    }
}
