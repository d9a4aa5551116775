package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The replicated state after one entry, which replaces that entry and all before it. A group starts with the snapshot
 * at index {@link #BOOTSTRAP_INDEX}, which has the first voters and no state.
 *
 * @param index      index of the last entry that it covers
 * @param term       term of that entry
 * @param membership members in force at that entry
 * @param data       snapshot of the state; empty at the bootstrap
 */
record LogSnapshot(long index, long term, Membership membership, byte[] data) implements WireMessage {

    static final long BOOTSTRAP_INDEX = 1;
    static final long BOOTSTRAP_TERM = 1;

    static final MessageCodec<LogSnapshot> CODEC =
            MessageCodec.of(62, LogSnapshot.class, LogSnapshot::write, LogSnapshot::read);

    static LogSnapshot bootstrap(Membership membership) {
        return new LogSnapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, membership, new byte[0]);
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
