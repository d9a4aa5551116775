package org.copperspindle.membership;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The answer of the leader to a {@link LeaseRequestMessage}.
 *
 * @param leaseMillis length of the lease, counted by the member from when it sent the request
 * @param term term of the leader; also the fencing number of its orders
 * @param configVersion newest version that is accepted or being put in force; a member below it must not serve
 */
public record LeaseGrantMessage(long leaseMillis, long term, long configVersion) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LeaseGrantMessage> CODEC =
            MessageCodec.of(12, LeaseGrantMessage.class, LeaseGrantMessage::write, LeaseGrantMessage::read);

    private void write(FieldWriter out) {
        out.put(1, leaseMillis).put(2, term).put(3, configVersion);
    }

    private static LeaseGrantMessage read(FieldReader in) {
        return new LeaseGrantMessage(in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0));
    }
}
