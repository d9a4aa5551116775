package org.copperspindle.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.copperspindle.audit.AuditEntry;
import org.copperspindle.audit.AuditEntryFactory;

/**
 * Creates the audit entry that a version is in force everywhere, once for each version and leader. The entry has the
 * number of members that reported the version, and the names of some of them: an entry for each member of a large fleet
 * would outweigh all others.
 */
final class InForceRecorder {

    private static final int MAX_LISTED = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long version;
    private long since;
    private boolean recorded;

    /** Resets the state at the start of a term. */
    void reset() {
        version = 0;
    }

    Optional<AuditEntry> observe(long newest, BooleanSupplier inForce, Collection<Member> members, long now) {
        if (newest == 0 || newest == version && recorded) {
            return Optional.empty();
        }
        if (newest != version) {
            version = newest;
            since = now;
            recorded = false;
        }
        if (!inForce.getAsBoolean()) {
            return Optional.empty();
        }
        recorded = true;
        List<Member> reported =
                members.stream().filter(m -> m.configVersion() >= version).toList();
        List<String> details = new ArrayList<>();
        details.add("entries=" + reported.stream().filter(m -> !m.isAgent()).count() + " agents="
                + reported.stream().filter(Member::isAgent).count() + " after-ms=" + (now - since) / NANOS_PER_MILLI);
        reported.stream().map(Member::id).sorted().limit(MAX_LISTED).forEach(id -> details.add("at " + id));
        return Optional.of(AuditEntryFactory.inForce("leader", "version-" + version, version, 0, details));
    }
}
