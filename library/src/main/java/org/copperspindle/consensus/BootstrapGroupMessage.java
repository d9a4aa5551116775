package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Tells a member that holds nothing yet that a group was founded of which it is a first voter.
 *
 * @param groupName  name of the group in the sender's settings
 * @param group      identity of the group
 * @param membership the encoded first voters
 */
record FoundGroupMessage(String groupName, long group, byte[] membership) implements WireMessage {

    static final MessageCodec<FoundGroupMessage> CODEC =
            MessageCodec.of(71, FoundGroupMessage.class, FoundGroupMessage::write, FoundGroupMessage::read);

    private void write(FieldWriter out) {
        out.put(1, groupName).put(2, group).put(3, membership);
    }

    private static FoundGroupMessage read(FieldReader in) {
        return new FoundGroupMessage(in.getString(1), in.getLong(2, 0), in.getBytes(3));
    }
}
