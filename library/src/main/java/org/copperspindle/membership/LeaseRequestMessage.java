package org.copperspindle.membership;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Sent by an entry or agent to the leader, at every renewal and at once after a change. It renews the lease and says what is in force at the member.
 *
 * @param configVersion configuration version in force at the member, 0 for none
 * @param membershipRevision membership revision that the member has seen, 0 for none
 * @param announcement encoded {@link UpstreamAnnouncement} of an agent, empty for an entry
 * @param leaving whether the member stops and gives its lease back
 */
public record LeaseRequestMessage(long configVersion, long membershipRevision, byte[] announcement, boolean leaving)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LeaseRequestMessage> CODEC =
            MessageCodec.of(11, LeaseRequestMessage.class, LeaseRequestMessage::write, LeaseRequestMessage::read);

    private void write(FieldWriter out) {
        out.put(1, configVersion)
                .put(2, membershipRevision)
                .put(3, announcement)
                .put(4, leaving);
    }

    private static LeaseRequestMessage read(FieldReader in) {
        return new LeaseRequestMessage(in.getLong(1, 0), in.getLong(2, 0), in.getBytes(3), in.getBoolean(4));
    }
}
