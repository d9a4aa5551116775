package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;

/**
 * Reply to a {@link SnapshotChunkMessage}.
 *
 * @param envelope      addressing
 * @param snapshotIndex as in the request
 * @param nextOffset    offset of the next byte to send
 * @param installed     true once the whole snapshot is on the disk
 * @param sentAt        clock value of the request, returned unchanged
 */
record SnapshotReplyMessage(Envelope envelope, long snapshotIndex, long nextOffset, boolean installed, long sentAt)
        implements RaftMessage {

    static final MessageCodec<SnapshotReplyMessage> CODEC =
            MessageCodec.of(69, SnapshotReplyMessage.class, SnapshotReplyMessage::write, SnapshotReplyMessage::read);

    private void write(FieldWriter out) {
        envelope.write(out)
                .put(10, snapshotIndex)
                .put(11, nextOffset)
                .put(12, installed)
                .put(13, sentAt);
    }

    private static SnapshotReplyMessage read(FieldReader in) {
        return new SnapshotReplyMessage(
                Envelope.read(in), in.getLong(10, 0), in.getLong(11, 0), in.getBoolean(12), in.getLong(13, 0));
    }
}
