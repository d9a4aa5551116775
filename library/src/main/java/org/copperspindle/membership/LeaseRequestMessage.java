package org.copperspindle.membership;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Request of an entry or agent to the leader, sent at every renewal and immediately after a change. It renews the lease
 * and reports what is in force at the member.
 *
 * @param configVersion      configuration version in force at the member, 0 for none
 * @param membershipRevision membership revision that the member has seen, 0 for none
 * @param announcement       encoded {@link UpstreamAnnouncement} of an agent, empty for an entry
 * @param leaving            whether the member is stopping and returns its lease
 * @param number             number of the request on its connection, repeated by the grant
 * @param textVersion        version whose text the member holds, as a base for patches; 0 for none
 * @param rateShare          share of every account's rate that an entry uses, in parts of
 *                           {@link LeaseGrantMessage#WHOLE_RATE}
 * @param grantNumber        number of the last grant that the member applied; 0 for none
 */
public record LeaseRequestMessage(
        long configVersion,
        long membershipRevision,
        byte[] announcement,
        boolean leaving,
        long number,
        long textVersion,
        long rateShare,
        long grantNumber)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LeaseRequestMessage> CODEC =
            MessageCodec.of(11, LeaseRequestMessage.class, LeaseRequestMessage::write, LeaseRequestMessage::read);

    /**
     * Creates a request that {@link ControlLink} numbers when it sends it.
     *
     * @param configVersion      configuration version in force at the member, 0 for none
     * @param membershipRevision membership revision that the member has seen, 0 for none
     * @param announcement       encoded {@link UpstreamAnnouncement} of an agent, empty for an entry
     * @param leaving            whether the member is stopping and returns its lease
     */
    public LeaseRequestMessage(long configVersion, long membershipRevision, byte[] announcement, boolean leaving) {
        this(configVersion, membershipRevision, announcement, leaving, 0, 0, 0, 0);
    }

    LeaseRequestMessage numbered(long newNumber, long newTextVersion, long newShare, long newGrantNumber) {
        return new LeaseRequestMessage(
                configVersion,
                membershipRevision,
                announcement,
                leaving,
                newNumber,
                newTextVersion,
                newShare,
                newGrantNumber);
    }

    private void write(FieldWriter out) {
        out.put(1, configVersion)
                .put(2, membershipRevision)
                .put(3, announcement)
                .put(4, leaving)
                .put(5, number)
                .put(6, textVersion)
                .put(7, rateShare)
                .put(8, grantNumber);
    }

    private static LeaseRequestMessage read(FieldReader in) {
        return new LeaseRequestMessage(
                in.getLong(1, 0),
                in.getLong(2, 0),
                in.getBytes(3),
                in.getBoolean(4),
                in.getLong(5, 0),
                in.getLong(6, 0),
                in.getLong(7, 0),
                in.getLong(8, 0));
    }
}
