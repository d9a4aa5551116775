package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Sent by a control member that can't serve a request because it does not lead.
 *
 * @param leaderAddress IP:PORT of the leader, empty if unknown
 */
public record NotLeaderMessage(String leaderAddress) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<NotLeaderMessage> CODEC =
            MessageCodec.of(14, NotLeaderMessage.class, NotLeaderMessage::write, NotLeaderMessage::read);

    private void write(FieldWriter out) {
        out.put(1, leaderAddress);
    }

    private static NotLeaderMessage read(FieldReader in) {
        return new NotLeaderMessage(in.getString(1));
    }
}
