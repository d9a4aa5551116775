package org.copperspindle.consensus;

import java.nio.ByteBuffer;
import java.util.Optional;

import org.copperspindle.disk.Checksum;

/**
 * Layout of one record in a segment: length, CRC32C, position in its batch, and the entry. A batch is what was written
 * between two syncs; with the position, a tail that was never synced can be told from damage to synced records.
 */
final class RecordFormat {

    /** Bytes that a record adds to the body of its entry. */
    static final int OVERHEAD_BYTES = 3 * Integer.BYTES + new LogEntry(0, 0, EntryKind.NO_OP, new byte[0]).size();

    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int MIN_LENGTH = OVERHEAD_BYTES - HEADER_BYTES;
    private static final int MAX_LENGTH = 16 << 20;

    private RecordFormat() {}

    /** A complete record with a valid checksum. */
    record Parsed(LogEntry entry, int position, int size) {

        /** Index of the first entry of its batch. */
        long batchStart() {
            return entry.index() - position;
        }
    }

    static ByteBuffer encode(LogEntry entry, int position) {
        byte[] encoded = entry.encode();
        int length = Integer.BYTES + encoded.length;
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + length);
        out.putInt(length).putInt(0).putInt(position).put(encoded);
        out.putInt(Integer.BYTES, Checksum.crc32c(out, HEADER_BYTES, length));
        return out.flip();
    }

    /** Reads the record at an offset, if there is a complete one with a valid checksum. */
    static Optional<Parsed> parse(ByteBuffer in, int offset) {
        if (in.limit() - offset < HEADER_BYTES + MIN_LENGTH) {
            return Optional.empty();
        }
        int length = in.getInt(offset);
        if (length < MIN_LENGTH || length > MAX_LENGTH || length > in.limit() - offset - HEADER_BYTES) {
            return Optional.empty();
        }
        if (in.getInt(offset + Integer.BYTES) != Checksum.crc32c(in, offset + HEADER_BYTES, length)) {
            return Optional.empty();
        }
        int position = in.getInt(offset + HEADER_BYTES);
        byte[] encoded = new byte[length - Integer.BYTES];
        in.get(offset + HEADER_BYTES + Integer.BYTES, encoded);
        return Optional.of(new Parsed(LogEntry.decode(encoded), position, HEADER_BYTES + length));
    }
}
