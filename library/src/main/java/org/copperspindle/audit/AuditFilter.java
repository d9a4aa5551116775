package org.copperspindle.audit;

import java.util.Optional;

/**
 * Criteria by which audit records are selected. An absent criterion matches every record.
 *
 * @param actor       operator, process or upstream
 * @param subject     change id, upstream, order id or voter
 * @param kind        kind of record
 * @param fromVersion lowest configuration version
 * @param toVersion   highest configuration version
 * @param sinceMillis earliest time of acceptance, in milliseconds since 1970
 * @param untilMillis latest time of acceptance, in milliseconds since 1970
 */
public record AuditFilter(
        Optional<String> actor,
        Optional<String> subject,
        Optional<AuditKind> kind,
        long fromVersion,
        long toVersion,
        long sinceMillis,
        long untilMillis) {

    /** Matches every record. */
    public static final AuditFilter ALL =
            new AuditFilter(Optional.empty(), Optional.empty(), Optional.empty(), 0, Long.MAX_VALUE, 0, Long.MAX_VALUE);

    /**
     * Returns whether a record matches.
     *
     * @param entry contents of the record
     * @return true if it meets every criterion
     */
    public boolean accepts(AuditEntry entry) {
        return actor.map(entry.actor()::equals).orElse(true)
                && subject.map(entry.subject()::equals).orElse(true)
                && kind.map(k -> k == entry.kind()).orElse(true)
                && isBetween(entry.version(), fromVersion, toVersion)
                && isBetween(entry.acceptedAtMillis(), sinceMillis, untilMillis);
    }

    private static boolean isBetween(long value, long low, long high) {
        return value >= low && value <= high;
    }
}
