package org.copperspindle.version;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Response of the leader with the newest version and revision at the time of the request. A node that holds both may
 * serve for the length of a lease, counted from the time at which it sent the request.
 *
 * @param sequence number of the request
 * @param version  newest version, 0 if none was accepted yet
 * @param revision revision of the evacuations, 0 before the first
 */
public record VersionLeaseResponseMessage(long sequence, long version, long revision) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<VersionLeaseResponseMessage> CODEC = MessageCodec.of(
            212,
            VersionLeaseResponseMessage.class,
            VersionLeaseResponseMessage::write,
            VersionLeaseResponseMessage::read);

    private void write(FieldWriter out) {
        out.put(1, sequence).put(2, version).put(3, revision);
    }

    private static VersionLeaseResponseMessage read(FieldReader in) {
        return new VersionLeaseResponseMessage(in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0));
    }
}
