package org.copperspindle.audit;

import java.util.Arrays;
import java.util.HexFormat;

/**
 * The head of an audit chain, which identifies its last record. Equal heads mean equal trails.
 *
 * @param number number of the last record, 0 if there is none
 * @param digest SHA-256 of the last record, zeros if there is none
 */
public record AuditHead(long number, byte[] digest) {

    /** The head of an empty chain. */
    public static final AuditHead EMPTY = new AuditHead(0, new byte[AuditRecord.DIGEST_BYTES]);

    /**
     * Returns the head after a record.
     *
     * @param record the last record
     * @return its number and digest
     */
    public static AuditHead after(AuditRecord record) {
        return new AuditHead(record.number(), record.digest());
    }

    /**
     * Returns whether a record directly follows this head.
     *
     * @param record the record
     * @return true if the number and the digest of the previous record match
     */
    public boolean precedes(AuditRecord record) {
        return record.number() == number + 1 && Arrays.equals(record.previous(), digest);
    }

    /**
     * Returns the digest in readable form.
     *
     * @return 64 hexadecimal digits
     */
    public String hex() {
        return HexFormat.of().formatHex(digest);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AuditHead head && head.number == number && Arrays.equals(head.digest, digest);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(number) ^ Arrays.hashCode(digest);
    }
}
