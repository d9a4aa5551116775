package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The replicated state after one entry, standing in for that entry and all before it. A group begins with the snapshot
 * at index {@link #FOUNDING_INDEX}, which names its first voters and carries no state.
 *
 * @param index      index of the last entry that it covers
 * @param term       term of that entry
 * @param membership members in force there
 * @param data       what the state's snapshot gave; empty at the founding
 */
record LogSnapshot(long index, long term, Membership membership, byte[] data) implements WireMessage {

    static final long FOUNDING_INDEX = 1;
    static final long FOUNDING_TERM = 1;

    static final MessageCodec<LogSnapshot> CODEC =
            MessageCodec.of(62, LogSnapshot.class, LogSnapshot::write, LogSnapshot::read);

    static LogSnapshot founding(Membership membership) {
        return new LogSnapshot(FOUNDING_INDEX, FOUNDING_TERM, membership, new byte[0]);
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static LogSnapshot decode(byte[] bytes) throws MalformedFrameException {
        return CODEC.decode(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, index).put(2, term).put(3, membership.encode()).put(4, data);
    }

    private static LogSnapshot read(FieldReader in) {
        return new LogSnapshot(in.getLong(1, 0), in.getLong(2, 0), Membership.decode(in.getBytes(3)), in.getBytes(4));
    }
}
