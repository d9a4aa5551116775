package org.copperspindle.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * Creates the entries of the audit trail. Deterministic: the same arguments give the same entry on every member.
 */
public final class AuditEntryFactory {

    private AuditEntryFactory() {}

    /**
     * Creates the entry for an accepted configuration.
     *
     * @param operator         operator who proposed it
     * @param changeId         identity of the change
     * @param baseVersion      version that the change is based on
     * @param version          version that the change created
     * @param before           INI text of the base version
     * @param after            INI text of the new version
     * @param acceptedAtMillis wall clock of the leader
     * @return the entry
     */
    public static AuditEntry change(
            String operator,
            String changeId,
            long baseVersion,
            long version,
            String before,
            String after,
            long acceptedAtMillis) {
        List<String> difference = ConfigDifference.between(before, after);
        return new AuditEntry(AuditKind.CHANGE, operator, changeId, baseVersion, version, acceptedAtMillis, difference);
    }

    /**
     * Creates the entry for a version that is in force at every serving member.
     *
     * @param leader     process that observed it
     * @param changeId   identity of the change
     * @param version    the version
     * @param atMillis   wall clock of the leader
     * @param whereLines lines that state where it is in force and how long after acceptance, for example one per
     *     failure domain
     * @return the entry
     */
    public static AuditEntry inForce(
            String leader, String changeId, long version, long atMillis, List<String> whereLines) {
        return new AuditEntry(AuditKind.IN_FORCE, leader, changeId, 0, version, atMillis, List.copyOf(whereLines));
    }

    /**
     * Creates the entry for a changed announcement of an upstream.
     *
     * @param before   previous announcement, if any
     * @param now      new announcement
     * @param version  configuration version at that time
     * @param atMillis wall clock of the leader
     * @return the entry; empty if nothing has changed that the trail records
     */
    public static Optional<AuditEntry> membership(
            Optional<UpstreamAnnouncement> before, UpstreamAnnouncement now, long version, long atMillis) {
        List<String> details = new ArrayList<>();
        if (before.isEmpty()) {
            details.add("joined pool=" + now.pool() + " failure-domain=" + now.failureDomain());
        } else if (before.get().incarnation() != now.incarnation()) {
            details.add("restarted incarnation=" + now.incarnation());
        }
        if (before.isEmpty() || !before.get().models().equals(now.models())) {
            details.add("models=" + String.join(",", now.models()));
        }
        if (now.draining() && !before.map(UpstreamAnnouncement::draining).orElse(false)) {
            details.add("draining");
        }
        if (details.isEmpty()) {
            return Optional.empty();
        }
        String id = now.upstreamId();
        return Optional.of(new AuditEntry(AuditKind.MEMBERSHIP, id, id, 0, version, atMillis, List.copyOf(details)));
    }

    /**
     * Creates the entry for a removed upstream.
     *
     * @param upstreamId  the upstream
     * @param incarnation incarnation that ended
     * @param version     configuration version at that time
     * @param atMillis    wall clock of the leader
     * @return the entry
     */
    public static AuditEntry removed(String upstreamId, long incarnation, long version, long atMillis) {
        List<String> details = List.of("removed incarnation=" + incarnation);
        return new AuditEntry(AuditKind.MEMBERSHIP, upstreamId, upstreamId, 0, version, atMillis, details);
    }

    /**
     * Creates the entry for an order that was issued or has ended.
     *
     * @param upstreamId upstream of the order
     * @param orderId    identity of the order
     * @param version    configuration version at that time
     * @param atMillis   wall clock of the leader
     * @param detail     what happened
     * @return the entry
     */
    public static AuditEntry order(String upstreamId, String orderId, long version, long atMillis, String detail) {
        return new AuditEntry(AuditKind.ORDER, upstreamId, orderId, 0, version, atMillis, List.of(detail));
    }

    /**
     * Creates the entry for a change in the set of voters.
     *
     * @param actor    operator who requested it, or the leader
     * @param voter    voter that was added or removed
     * @param version  configuration version at that time
     * @param atMillis wall clock of the leader
     * @param details  what changed and why
     * @return the entry
     */
    public static AuditEntry repair(String actor, String voter, long version, long atMillis, List<String> details) {
        return new AuditEntry(AuditKind.REPAIR, actor, voter, 0, version, atMillis, List.copyOf(details));
    }
}
