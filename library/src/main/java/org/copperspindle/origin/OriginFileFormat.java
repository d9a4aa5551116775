package org.copperspindle.origin;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.copperspindle.disk.Checksum;
import org.copperspindle.wire.MalformedFrameException;

/**
 * Layout of a file of stream origins: a header with the version of the format and the lifetime of the records, then
 * the records, each with its length and CRC32C.
 */
final class OriginFileFormat {

    /** Length of the header in bytes. */
    static final int HEADER_BYTES = 2 * Integer.BYTES + Short.BYTES + Long.BYTES;

    private static final int MAGIC = 0x43534f52;
    private static final short VERSION = 1;
    private static final int CHECKED_HEADER_BYTES = HEADER_BYTES - Integer.BYTES;
    private static final int PREFIX_BYTES = Short.BYTES + Integer.BYTES;

    /** Longest body of a record: a key, a version, the name of a pool. */
    private static final int MAX_BODY_BYTES = 400;

    /** Shortest body of a record: a key. */
    private static final int MIN_BODY_BYTES = 16;

    private OriginFileFormat() {}

    /**
     * Contents of a file.
     *
     * @param lifetimeNanos how long its records are valid; empty if the header is damaged
     * @param records       its whole records
     * @param damagedBytes  bytes that belong to none of them
     */
    record Contents(OptionalLong lifetimeNanos, List<OriginRecord> records, int damagedBytes) {}

    static ByteBuffer header(long lifetimeNanos) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES);
        out.putInt(MAGIC).putShort(VERSION).putLong(TimeUnit.NANOSECONDS.toMillis(lifetimeNanos));
        return out.putInt(Checksum.crc32c(out, 0, CHECKED_HEADER_BYTES)).flip();
    }

    /** Returns the record as it is written to a file; empty if it is too long for that. */
    static Optional<ByteBuffer> encode(OriginRecord record) {
        byte[] body = OriginRecord.STORED_CODEC.encode(record);
        if (body.length > MAX_BODY_BYTES) {
            return Optional.empty();
        }
        ByteBuffer out = ByteBuffer.allocate(PREFIX_BYTES + body.length);
        return Optional.of(out.putShort((short) body.length)
                .putInt(Checksum.crc32c(body))
                .put(body)
                .flip());
    }

    /** Reads all whole records of a file. Behind damage, reading goes on with the next record that is whole. */
    static Contents read(ByteBuffer in) {
        OptionalLong lifetime = OptionalLong.empty();
        int offset = 0;
        if (isHeader(in)) {
            if (in.getShort(Integer.BYTES) != VERSION) {
                return new Contents(OptionalLong.empty(), List.of(), in.limit());
            }
            lifetime = OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(in.getLong(Integer.BYTES + Short.BYTES)));
            offset = HEADER_BYTES;
        }
        List<OriginRecord> records = new ArrayList<>();
        int damaged = 0;
        while (offset < in.limit()) {
            Optional<OriginRecord> record = parse(in, offset);
            record.ifPresent(records::add);
            int length = record.isPresent() ? PREFIX_BYTES + in.getShort(offset) : 1;
            damaged += record.isPresent() ? 0 : 1;
            offset += length;
        }
        return new Contents(lifetime, records, damaged);
    }

    private static boolean isHeader(ByteBuffer in) {
        return in.limit() >= HEADER_BYTES
                && in.getInt(0) == MAGIC
                && in.getInt(CHECKED_HEADER_BYTES) == Checksum.crc32c(in, 0, CHECKED_HEADER_BYTES);
    }

    private static Optional<OriginRecord> parse(ByteBuffer in, int offset) {
        int left = in.limit() - offset - PREFIX_BYTES;
        if (left < MIN_BODY_BYTES) {
            return Optional.empty();
        }
        int length = in.getShort(offset);
        if (length < MIN_BODY_BYTES || length > Math.min(left, MAX_BODY_BYTES)) {
            return Optional.empty();
        }
        int start = offset + PREFIX_BYTES;
        if (in.getInt(offset + Short.BYTES) != Checksum.crc32c(in, start, length)) {
            return Optional.empty();
        }
        byte[] body = new byte[length];
        in.get(start, body);
        try {
            return Optional.of(OriginRecord.STORED_CODEC.decode(body));
        } catch (MalformedFrameException e) {
            // Other bytes with a matching checksum: damage like any other, which the reader counts.
            return Optional.empty();
        }
    }
}
