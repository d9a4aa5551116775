package org.copperspindle.membership;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Response of the leader to a {@link LeaseRequestMessage}.
 *
 * @param leaseMillis      length of the lease, measured by the member from when it sent the request; 0 if the lease is
 *                         not renewed, because the member is behind or a newer incarnation of it is known
 * @param term             term of the leader; also the fencing token of its orders
 * @param configVersion    newest version that is accepted or being put in force; a member below it must not serve
 * @param number           number of the request
 * @param newerIncarnation newest incarnation known, if it is newer than the one announced; else 0
 * @param rateShare        share of every account's rate that an entry may use during the lease, in parts of
 *                         {@link #WHOLE_RATE}; {@link #KEEP_SHARE} if the entry keeps its current share
 */
public record LeaseGrantMessage(
        long leaseMillis, long term, long configVersion, long number, long newerIncarnation, long rateShare)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LeaseGrantMessage> CODEC =
            MessageCodec.of(12, LeaseGrantMessage.class, LeaseGrantMessage::write, LeaseGrantMessage::read);

    /** The whole rate, which is the sum of the shares of all entries. */
    public static final long WHOLE_RATE = 1_000_000_000;

    /**
     * Sent by a leader that doesn't know yet what is free: the entry keeps its share if its lease was held until now,
     * else it is 0.
     */
    public static final long KEEP_SHARE = -1;

    /**
     * Creates a grant that leaves the member's share unchanged.
     *
     * @param leaseMillis      length of the lease
     * @param term             term of the leader
     * @param configVersion    newest version that is accepted or being put in force
     * @param number           number of the request
     * @param newerIncarnation newest incarnation known, if it is newer than the one announced; else 0
     */
    public LeaseGrantMessage(long leaseMillis, long term, long configVersion, long number, long newerIncarnation) {
        this(leaseMillis, term, configVersion, number, newerIncarnation, KEEP_SHARE);
    }

    private void write(FieldWriter out) {
        out.put(1, leaseMillis)
                .put(2, term)
                .put(3, configVersion)
                .put(4, number)
                .put(5, newerIncarnation)
                .put(6, rateShare);
    }

    private static LeaseGrantMessage read(FieldReader in) {
        return new LeaseGrantMessage(
                in.getLong(1, 0),
                in.getLong(2, 0),
                in.getLong(3, 0),
                in.getLong(4, 0),
                in.getLong(5, 0),
                in.getLong(6, KEEP_SHARE));
    }
}
