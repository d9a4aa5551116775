package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;

/**
 * Reply to an {@link AppendRequestMessage}.
 *
 * @param envelope addressing
 * @param matched  true if the log holds the entry before the first one
 * @param index    if matched, the index up to which this member holds the leader's log on its disk; else the index to
 *                 try next
 * @param sentAt   clock value of the request, returned unchanged
 */
record AppendReplyMessage(Envelope envelope, boolean matched, long index, long sentAt) implements RaftMessage {

    static final MessageCodec<AppendReplyMessage> CODEC =
            MessageCodec.of(67, AppendReplyMessage.class, AppendReplyMessage::write, AppendReplyMessage::read);

    private void write(FieldWriter out) {
        envelope.write(out).put(10, matched).put(11, index).put(12, sentAt);
    }

    private static AppendReplyMessage read(FieldReader in) {
        return new AppendReplyMessage(Envelope.read(in), in.getBoolean(10), in.getLong(11, 0), in.getLong(12, 0));
    }
}
