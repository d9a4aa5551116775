package org.copperspindle.audit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Verifies a chain record by record.
 */
public final class AuditVerifier {

    private final List<AuditFinding> findings = new ArrayList<>();
    private AuditHead head = AuditHead.EMPTY;
    private long checked;

    /** Whether the digest of the previous record is unknown, because that record could not be read. */
    private boolean previousUnreadable;

    /**
     * Verifies that a record follows the previous ones.
     *
     * @param record record that has been verified against its own digest
     * @param file   file name, empty if there is none
     * @param offset offset of its frame, -1 if there is none
     */
    public void accept(AuditRecord record, String file, long offset) {
        if (record.number() > head.number() + 1) {
            findings.add(new AuditFinding.Missing(head.number() + 1, record.number() - 1));
        } else if (record.number() <= head.number()) {
            addChanged(record.number(), file, offset, "follows record " + head.number());
        } else if (!previousUnreadable && !Arrays.equals(record.previous(), head.digest())) {
            addChanged(record.number(), file, offset, "does not carry the digest of record " + head.number());
        }
        previousUnreadable = false;
        head = AuditHead.after(record);
        checked++;
    }

    /**
     * Adds a finding for a record that can't be read.
     *
     * @param file   file name
     * @param offset offset of its frame
     * @param reason description of the problem
     */
    public void unreadable(String file, long offset, String reason) {
        addChanged(head.number() + 1, file, offset, reason);
        head = new AuditHead(head.number() + 1, head.digest());
        previousUnreadable = true;
    }

    /**
     * Compares the head of the chain with the head in a member's replicated state. A trail that was modified and
     * rehashed from there on is consistent in itself, and is only detected by this comparison.
     *
     * @param expected head in the member's replicated state
     */
    public void finish(AuditHead expected) {
        if (head.number() < expected.number()) {
            findings.add(new AuditFinding.Missing(head.number() + 1, expected.number()));
        } else if (head.number() == expected.number() && !head.equals(expected)) {
            addChanged(head.number(), "", -1, "its digest is not the one in the replicated state");
        }
    }

    /**
     * Returns the findings.
     *
     * @return empty if the chain is intact
     */
    public List<AuditFinding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Returns the head of the chain so far.
     *
     * @return the head
     */
    public AuditHead head() {
        return head;
    }

    /**
     * Returns how many records were verified.
     *
     * @return a count
     */
    public long checked() {
        return checked;
    }

    private void addChanged(long number, String file, long offset, String reason) {
        findings.add(new AuditFinding.Changed(number, file, offset, reason));
    }
}
