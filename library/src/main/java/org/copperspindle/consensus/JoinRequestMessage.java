package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Request to join, sent by a member that belongs to no group to all members that its settings name.
 *
 * @param groupName    name of the group in the sender's settings
 * @param voters       names of the first voters in the sender's settings, in order, separated by commas
 * @param bootstrapper identity of the first configured voter as last received by the sender, 0 if never
 * @param member       the encoded sender, as a learner
 * @param isFirst      whether the sender's folder was first used when the whole deployment started for the first time
 */
record JoinRequestMessage(String groupName, String voters, long bootstrapper, byte[] member, boolean isFirst)
        implements WireMessage {

    static final MessageCodec<JoinRequestMessage> CODEC =
            MessageCodec.of(70, JoinRequestMessage.class, JoinRequestMessage::write, JoinRequestMessage::read);

    private void write(FieldWriter out) {
        out.put(1, groupName).put(2, voters).put(3, bootstrapper).put(4, member).put(5, isFirst);
    }

    private static JoinRequestMessage read(FieldReader in) {
        return new JoinRequestMessage(
                in.getString(1), in.getString(2), in.getLong(3, 0), in.getBytes(4), in.getBoolean(5));
    }
}
