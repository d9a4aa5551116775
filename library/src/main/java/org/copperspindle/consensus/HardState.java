package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * State that a member must keep across restarts, besides its log.
 *
 * @param identity identity of the data folder
 * @param name     name of the process that first used the folder
 * @param group    identity of the group, 0 while the member belongs to none
 * @param term     newest term seen
 * @param votedFor identity voted for in that term, 0 if none
 * @param isFirst  whether the folder was first used when the whole deployment started for the first time
 */
record HardState(long identity, String name, long group, long term, long votedFor, boolean isFirst)
        implements WireMessage {

    static final MessageCodec<HardState> CODEC =
            MessageCodec.of(63, HardState.class, HardState::write, HardState::read);

    HardState(long identity, String name, long group, long term, long votedFor) {
        this(identity, name, group, term, votedFor, false);
    }

    static HardState initial(long identity, String name, boolean isFirst) {
        return new HardState(identity, name, 0, 0, 0, isFirst);
    }

    HardState withGroup(long joined) {
        return new HardState(identity, name, joined, term, votedFor, isFirst);
    }

    HardState withVote(long newTerm, long vote) {
        return new HardState(identity, name, group, newTerm, vote, isFirst);
    }

    private void write(FieldWriter out) {
        out.put(1, identity)
                .put(2, name)
                .put(3, group)
                .put(4, term)
                .put(5, votedFor)
                .put(6, isFirst);
    }

    private static HardState read(FieldReader in) {
        return new HardState(
                in.getLong(1, 0),
                in.getString(2),
                in.getLong(3, 0),
                in.getLong(4, 0),
                in.getLong(5, 0),
                in.getBoolean(6));
    }
}
