package org.copperspindle.version;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Response of the leader with the newest version and revisions at the time of the request. A node that holds all may
 * serve for the length of a lease, counted from the time at which it sent the request.
 *
 * @param sequence number of the request
 * @param version  newest version, 0 if none was accepted yet
 * @param revision revision of the evacuations, 0 before the first
 * @param software revision of the software versions in use, 0 if the leader keeps no list of them
 */
public record VersionLeaseResponseMessage(long sequence, long version, long revision, long software)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<VersionLeaseResponseMessage> CODEC = MessageCodec.of(
            212,
            VersionLeaseResponseMessage.class,
            VersionLeaseResponseMessage::write,
            VersionLeaseResponseMessage::read);

    /**
     * Creates the response of a leader that keeps no list of software versions.
     *
     * @param sequence number of the request
     * @param version  newest version, 0 if none was accepted yet
     * @param revision revision of the evacuations, 0 before the first
     */
    public VersionLeaseResponseMessage(long sequence, long version, long revision) {
        this(sequence, version, revision, 0);
    }

    private void write(FieldWriter out) {
        out.put(1, sequence).put(2, version).put(3, revision).put(4, software);
    }

    private static VersionLeaseResponseMessage read(FieldReader in) {
        return new VersionLeaseResponseMessage(in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0), in.getLong(4, 0));
    }
}
