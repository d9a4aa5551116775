package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Tells an empty member that a group was bootstrapped with it as one of the first voters.
 *
 * @param groupName  name of the group in the sender's settings
 * @param group      identity of the group
 * @param membership the encoded first voters
 */
record BootstrapGroupMessage(String groupName, long group, byte[] membership) implements WireMessage {

    static final MessageCodec<BootstrapGroupMessage> CODEC =
            MessageCodec.of(71, BootstrapGroupMessage.class, BootstrapGroupMessage::write, BootstrapGroupMessage::read);

    private void write(FieldWriter out) {
        out.put(1, groupName).put(2, group).put(3, membership);
    }

    private static BootstrapGroupMessage read(FieldReader in) {
        return new BootstrapGroupMessage(in.getString(1), in.getLong(2, 0), in.getBytes(3));
    }
}
