package org.copperspindle.audit;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The facts of one audit record, before it has its place in the chain. It is also a command of the log, for facts that
 * only the leader can observe, such as when a version was in force.
 *
 * @param kind             what it is about
 * @param actor            operator, process or upstream that brought it about
 * @param subject          change id, upstream, order id or voter
 * @param baseVersion      version that a change was made from, 0 if there is none
 * @param version          configuration version that it belongs to
 * @param acceptedAtMillis wall clock of the leader, in milliseconds since 1970, for readers only; nothing is decided by it
 * @param details          what happened, line by line; never a secret
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
     * Puts the time in.
     *
     * @param millis wall clock of the leader, in milliseconds since 1970
     * @return this entry with that time
     */
    AuditEntry at(long millis) {
        return new AuditEntry(kind, actor, subject, baseVersion, version, millis, details);
    }

    private void write(FieldWriter out) {
        out.put(1, kind.word())
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
