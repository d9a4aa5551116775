package org.copperspindle.control;

import java.util.List;
import java.util.Optional;

import org.copperspindle.audit.AuditEntry;
import org.copperspindle.audit.AuditEntryFactory;

/**
 * Creates an audit entry for each change of the control members, and one for each new leader, so that a change is
 * recorded even if the leader that made it failed before it could. The entry follows the change in the log: it is
 * committed only if the change is.
 */
final class VoterRecorder {

    private String recorded = "";
    private long term;

    Optional<AuditEntry> observe(long newestTerm, String leader, String members, long version) {
        if (newestTerm == term && members.equals(recorded)) {
            return Optional.empty();
        }
        List<String> details = newestTerm == term
                ? List.of("members were " + recorded, "members are " + members)
                : List.of("leads term=" + newestTerm, "members are " + members);
        term = newestTerm;
        recorded = members;
        return Optional.of(AuditEntryFactory.repair(leader, "control-members", version, 0, details));
    }
}
