package org.copperspindle.membership;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The answer of the leader to a {@link LeaseRequestMessage}.
 *
 * @param leaseMillis      length of the lease, counted by the member from when it sent the request; 0 if the lease is
 *                         not renewed, because the member is behind or a newer life of it is known
 * @param term             term of the leader; also the fencing number of its orders
 * @param configVersion    newest version that is accepted or being put in force; a member below it must not serve
 * @param number           number of the request
 * @param newerIncarnation newest incarnation known, if it is newer than the one announced; else 0
 * @param rateShare        part of every account's rate that an entry may use while the lease runs, of
 *                         {@link #WHOLE_RATE}; {@link #KEEP_SHARE} if it goes on with what it uses
 */
public record LeaseGrantMessage(
        long leaseMillis, long term, long configVersion, long number, long newerIncarnation, long rateShare)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LeaseGrantMessage> CODEC =
            MessageCodec.of(12, LeaseGrantMessage.class, LeaseGrantMessage::write, LeaseGrantMessage::read);

    /** Parts of a rate that all entries have together. */
    public static final long WHOLE_RATE = 1_000_000_000;

    /** Sent by a leader that can't tell yet what is free: a share goes on if its lease ran until now, else it is 0. */
    public static final long KEEP_SHARE = -1;

    /**
     * Creates a grant that leaves the member's share as it is.
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
