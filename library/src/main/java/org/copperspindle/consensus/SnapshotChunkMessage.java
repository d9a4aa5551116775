package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;

/**
 * One chunk of an encoded {@link LogSnapshot}.
 *
 * @param envelope      addressing
 * @param snapshotIndex index that the snapshot covers
 * @param snapshotTerm  term of that entry
 * @param offset        first byte of the chunk
 * @param total         bytes of the whole snapshot
 * @param checksum      CRC32C of the whole snapshot
 * @param sentAt        the leader's monotonic clock in nanoseconds
 * @param data          the bytes
 */
record SnapshotChunkMessage(
        Envelope envelope,
        long snapshotIndex,
        long snapshotTerm,
        long offset,
        long total,
        long checksum,
        long sentAt,
        byte[] data)
        implements RaftMessage {

    static final MessageCodec<SnapshotChunkMessage> CODEC =
            MessageCodec.of(68, SnapshotChunkMessage.class, SnapshotChunkMessage::write, SnapshotChunkMessage::read);

    @Override
    public boolean isBulk() {
        return true;
    }

    private void write(FieldWriter out) {
        envelope.write(out)
                .put(10, snapshotIndex)
                .put(11, snapshotTerm)
                .put(12, offset)
                .put(13, total)
                .put(14, checksum)
                .put(15, sentAt)
                .put(16, data);
    }

    private static SnapshotChunkMessage read(FieldReader in) {
        return new SnapshotChunkMessage(
                Envelope.read(in),
                in.getLong(10, 0),
                in.getLong(11, 0),
                in.getLong(12, 0),
                in.getLong(13, 0),
                in.getLong(14, 0),
                in.getLong(15, 0),
                in.getBytes(16));
    }
}
