package org.copperspindle.audit;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * One record of the hash chain that forms the audit trail.
 *
 * @param number   position in the chain, from 1 without gaps
 * @param index    index of the log record that it derives from
 * @param term     term of that record
 * @param previous SHA-256 of the previous encoded record, zeros for the first record
 * @param body     encoded {@link AuditEntry}
 */
public record AuditRecord(long number, long index, long term, byte[] previous, byte[] body) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AuditRecord> CODEC =
            MessageCodec.of(96, AuditRecord.class, AuditRecord::write, AuditRecord::read);

    /** Length of a digest in bytes. */
    public static final int DIGEST_BYTES = 32;

    /**
     * Decodes the contents of the record.
     *
     * @return the entry
     * @throws MalformedFrameException if the body is not an entry
     */
    public AuditEntry entry() throws MalformedFrameException {
        return AuditEntry.CODEC.decode(body);
    }

    /**
     * Returns the digest that the next record must contain.
     *
     * @return SHA-256 of this record's encoding
     */
    public byte[] digest() {
        return sha256(CODEC.encode(this));
    }

    /**
     * Hashes an encoded record.
     *
     * @param encoded its bytes
     * @return their SHA-256
     */
    static byte[] sha256(byte[] encoded) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(encoded);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }

    private void write(FieldWriter out) {
        out.put(1, number).put(2, index).put(3, term).put(4, previous).put(5, body);
    }

    private static AuditRecord read(FieldReader in) {
        return new AuditRecord(in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0), in.getBytes(4), in.getBytes(5));
    }
}
