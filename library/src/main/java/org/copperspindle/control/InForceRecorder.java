package org.copperspindle.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.copperspindle.audit.AuditEntry;
import org.copperspindle.audit.AuditEntryFactory;

/**
 * Words the audit record that a version is in force everywhere, once for each version and leader. One record names how
 * many members reported it, and some of them: a record for each member of a large fleet would outweigh all others.
 */
final class InForceRecorder {

    private static final int MAX_NAMED = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long version;
    private long since;
    private boolean recorded;

    /** Forgets what another term has seen. */
    void begin() {
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
        reported.stream().map(Member::id).sorted().limit(MAX_NAMED).forEach(id -> details.add("at " + id));
        return Optional.of(AuditEntryFactory.inForce("leader", "version-" + version, version, 0, details));
    }
}
