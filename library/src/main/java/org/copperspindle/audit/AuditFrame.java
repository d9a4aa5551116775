package org.copperspindle.audit;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

import org.copperspindle.wire.MalformedFrameException;

/**
 * A record as stored in a file: four bytes of length, the encoded record, and its SHA-256.
 *
 * @param record the record
 * @param bytes  length of the whole frame in bytes
 */
record AuditFrame(AuditRecord record, int bytes) {

    private static final int LENGTH_BYTES = 4;

    /** Exceeds the length of any record that is written; a larger length indicates corruption. */
    private static final int MAX_RECORD_BYTES = 1 << 20;

    static ByteBuffer encode(AuditRecord record) {
        byte[] encoded = AuditRecord.CODEC.encode(record);
        return ByteBuffer.allocate(LENGTH_BYTES + encoded.length + AuditRecord.DIGEST_BYTES)
                .putInt(encoded.length)
                .put(encoded)
                .put(AuditRecord.sha256(encoded))
                .flip();
    }

    /**
     * Reads the next frame.
     *
     * @param in stream positioned at a frame or at the end of the file
     * @return the frame, empty at the end
     * @throws EOFException            if the file ends within the frame
     * @throws MalformedFrameException if the frame is corrupt
     * @throws IOException             if the file can't be read
     */
    static Optional<AuditFrame> read(DataInputStream in) throws IOException, MalformedFrameException {
        int first = in.read();
        if (first < 0) {
            return Optional.empty();
        }
        int length = first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
        if (length < 0 || length > MAX_RECORD_BYTES) {
            throw new MalformedFrameException("length " + length);
        }
        byte[] encoded = new byte[length];
        in.readFully(encoded);
        byte[] digest = new byte[AuditRecord.DIGEST_BYTES];
        in.readFully(digest);
        if (!Arrays.equals(AuditRecord.sha256(encoded), digest)) {
            throw new MalformedFrameException("its bytes do not match its digest");
        }
        AuditRecord record = AuditRecord.CODEC.decode(encoded);
        return Optional.of(new AuditFrame(record, LENGTH_BYTES + length + AuditRecord.DIGEST_BYTES));
    }
}
