package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * One member of the group. The identity belongs to the data folder, not to the process: a member whose disk was lost
 * gets a new one, so that votes and acknowledgements given under the old one are not counted for data that it no longer
 * has.
 *
 * @param identity        random number drawn when the data folder was first used; never 0
 * @param name            name of the process, from its settings
 * @param address         IP:PORT of the internal protocol
 * @param operatorAddress IP:PORT for operators
 * @param voter           true if it votes, false for a learner
 */
record Member(long identity, String name, String address, String operatorAddress, boolean voter)
        implements WireMessage {

    static final MessageCodec<Member> CODEC = MessageCodec.of(60, Member.class, Member::write, Member::read);

    Member withVoter(boolean votes) {
        return new Member(identity, name, address, operatorAddress, votes);
    }

    /** Returns the name with the identity, which changes when the disk is lost; for log lines. */
    String label() {
        return name + '#' + Long.toHexString(identity);
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static Member decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, identity)
                .put(2, name)
                .put(3, address)
                .put(4, operatorAddress)
                .put(5, voter);
    }

    private static Member read(FieldReader in) {
        return new Member(in.getLong(1, 0), in.getString(2), in.getString(3), in.getString(4), in.getBoolean(5));
    }
}
