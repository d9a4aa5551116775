package org.copperspindle.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * Words the records of the trail. Pure: the same arguments give the same record on each member.
 */
public final class AuditEntryFactory {

    private AuditEntryFactory() {}

    /**
     * A configuration was accepted.
     *
     * @param operator         who asked
     * @param changeId         identity of the change
     * @param baseVersion      version that it was made from
     * @param version          its own version
     * @param before           INI text of the base
     * @param after            its INI text
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
     * A version is in force at every serving member.
     *
     * @param leader     process that saw it
     * @param changeId   identity of the change
     * @param version    the version
     * @param atMillis   wall clock of the leader
     * @param whereLines where and how long after acceptance, for example one line for each failure domain
     * @return the entry
     */
    public static AuditEntry inForce(
            String leader, String changeId, long version, long atMillis, List<String> whereLines) {
        return new AuditEntry(AuditKind.IN_FORCE, leader, changeId, 0, version, atMillis, List.copyOf(whereLines));
    }

    /**
     * An upstream announced something new.
     *
     * @param before   what was known of it, if anything
     * @param now      what it announced
     * @param version  configuration version at that time
     * @param atMillis wall clock of the leader
     * @return the entry; empty if nothing that readers ask for has changed
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
     * An upstream is gone.
     *
     * @param upstreamId  the upstream
     * @param incarnation life that ended
     * @param version     configuration version at that time
     * @param atMillis    wall clock of the leader
     * @return the entry
     */
    public static AuditEntry removed(String upstreamId, long incarnation, long version, long atMillis) {
        List<String> details = List.of("removed incarnation=" + incarnation);
        return new AuditEntry(AuditKind.MEMBERSHIP, upstreamId, upstreamId, 0, version, atMillis, details);
    }

    /**
     * An order was given or ended.
     *
     * @param upstreamId upstream that it is for
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
     * The set of voters changed.
     *
     * @param actor    who asked, or the leader
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
