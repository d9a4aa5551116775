package org.copperspindle.audit;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The contents of an audit record, before the record is added to the chain. Also a command of the replicated log, for
 * events that only the leader can observe, such as when a version was in force.
 *
 * @param kind             kind of event
 * @param actor            operator, process or upstream that caused the event
 * @param subject          change id, upstream, order id or voter
 * @param baseVersion      version that a change is based on, 0 if there is none
 * @param version          configuration version that the event belongs to
 * @param acceptedAtMillis wall clock of the leader, in milliseconds since 1970, for readers only; no decision depends
 *     on it
 * @param details          description of the event in lines; never contains a secret
 */
public record AuditEntry(
        AuditKind kind,
        String actor,
        String subject,
        long baseVersion,
        long version,
        long acceptedAtMillis,
        List<String> details)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AuditEntry> CODEC =
            MessageCodec.of(95, AuditEntry.class, AuditEntry::write, AuditEntry::read);

    /**
     * Returns a copy of this entry with another time.
     *
     * @param millis wall clock of the leader, in milliseconds since 1970
     * @return the copy
     */
    AuditEntry withTime(long millis) {
        return new AuditEntry(kind, actor, subject, baseVersion, version, millis, details);
    }

    private void write(FieldWriter out) {
        out.put(1, kind.label())
                .put(2, actor)
                .put(3, subject)
                .put(4, baseVersion)
                .put(5, version)
                .put(6, acceptedAtMillis)
                .putStrings(7, details);
    }

    private static AuditEntry read(FieldReader in) {
        return new AuditEntry(
                AuditKind.of(in.getString(1)),
                in.getString(2),
                in.getString(3),
                in.getLong(4, 0),
                in.getLong(5, 0),
                in.getLong(6, 0),
                in.getStrings(7));
    }
}
