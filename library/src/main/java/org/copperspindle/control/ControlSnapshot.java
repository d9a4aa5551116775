package org.copperspindle.control;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A snapshot of the whole {@link ControlState}.
 *
 * @param format format of the snapshot
 * @param parts  encoded {@link SnapshotPart}s
 */
record ControlSnapshot(long format, List<byte[]> parts) implements WireMessage {

    /** Format that this build writes, and the newest that it can read. */
    static final long FORMAT = 1;

    /** Codec of this message. */
    static final MessageCodec<ControlSnapshot> CODEC =
            MessageCodec.of(82, ControlSnapshot.class, ControlSnapshot::write, ControlSnapshot::read);

    private void write(FieldWriter out) {
        out.put(1, format).put(2, parts);
    }

    private static ControlSnapshot read(FieldReader in) {
        return new ControlSnapshot(in.getLong(1, 0), in.getList(2));
    }

    /**
     * Snapshot of one {@link StatePart}.
     *
     * @param name  name of the part
     * @param bytes encoded snapshot of the part
     */
    record SnapshotPart(String name, byte[] bytes) implements WireMessage {

        /** Codec of this message. */
        static final MessageCodec<SnapshotPart> CODEC =
                MessageCodec.of(83, SnapshotPart.class, SnapshotPart::write, SnapshotPart::read);

        private void write(FieldWriter out) {
            out.put(1, name).put(2, bytes);
        }

        private static SnapshotPart read(FieldReader in) {
            return new SnapshotPart(in.getString(1), in.getBytes(2));
        }
    }
}
