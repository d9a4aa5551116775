package org.copperspindle.consensus;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Layout of one record in a segment: length, CRC32C, position in its batch, then the entry. A batch is what was written
 * between two syncs; the position tells a tail that was never synced from damage to what was.
 */
final class RecordFormat {

    /** Bytes that a record adds to the command. */
    static final int OVERHEAD_BYTES = 3 * Integer.BYTES + new LogEntry(0, 0, EntryKind.NO_OP, new byte[0]).size();

    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    private static final int MIN_LENGTH = OVERHEAD_BYTES - HEAD_BYTES;
    private static final int MAX_LENGTH = 16 << 20;

    private RecordFormat() {}

    /** A record that was found whole. */
    record Parsed(LogEntry entry, int position, int size) {

        /** Index of the first entry of its batch. */
        long batchStart() {
            return entry.index() - position;
        }
    }

    static ByteBuffer encode(LogEntry entry, int position) {
        byte[] encoded = entry.encode();
        int length = Integer.BYTES + encoded.length;
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + length);
        out.putInt(length).putInt(0).putInt(position).put(encoded);
        out.putInt(Integer.BYTES, checksum(out, HEAD_BYTES, length));
        return out.flip();
    }

    /** Reads the record at an offset, if a whole one with the right checksum is there. */
    static Optional<Parsed> parse(ByteBuffer in, int offset) {
        if (in.limit() - offset < HEAD_BYTES + MIN_LENGTH) {
            return Optional.empty();
        }
        int length = in.getInt(offset);
        if (length < MIN_LENGTH || length > MAX_LENGTH || length > in.limit() - offset - HEAD_BYTES) {
            return Optional.empty();
        }
        if (in.getInt(offset + Integer.BYTES) != checksum(in, offset + HEAD_BYTES, length)) {
            return Optional.empty();
        }
        int position = in.getInt(offset + HEAD_BYTES);
        byte[] encoded = new byte[length - Integer.BYTES];
        in.get(offset + HEAD_BYTES + Integer.BYTES, encoded);
        return Optional.of(new Parsed(LogEntry.decode(encoded), position, HEAD_BYTES + length));
    }

    private static int checksum(ByteBuffer bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.slice(offset, length));
        return (int) crc.getValue();
    }
}
