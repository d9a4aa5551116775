package org.copperspindle.audit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Follows a chain record by record.
 */
public final class AuditVerifier {

    private final List<AuditFinding> findings = new ArrayList<>();
    private AuditHead head = AuditHead.EMPTY;
    private long checked;

    /** The digest of the record before is not known, because that record could not be read. */
    private boolean unlinked;

    /**
     * Checks that a record follows the ones before.
     *
     * @param record the record, already found equal to its own digest
     * @param file   file name, empty if there is none
     * @param offset offset of its frame, -1 if there is none
     */
    public void accept(AuditRecord record, String file, long offset) {
        if (record.number() > head.number() + 1) {
            findings.add(new AuditFinding.Missing(head.number() + 1, record.number() - 1));
        } else if (record.number() <= head.number()) {
            changed(record.number(), file, offset, "follows record " + head.number());
        } else if (!unlinked && !Arrays.equals(record.previous(), head.digest())) {
            changed(record.number(), file, offset, "does not carry the digest of record " + head.number());
        }
        unlinked = false;
        head = AuditHead.after(record);
        checked++;
    }

    /**
     * Notes a record that can't be read.
     *
     * @param file   file name
     * @param offset offset of its frame
     * @param reason what is wrong
     */
    public void unreadable(String file, long offset, String reason) {
        changed(head.number() + 1, file, offset, reason);
        head = new AuditHead(head.number() + 1, head.digest());
        unlinked = true;
    }

    /**
     * Compares the chain's end with the end that a member holds in its replicated state. A trail that was changed and
     * hashed anew from there on is whole in itself, and only differs from the others here.
     *
     * @param expected the member's head
     */
    public void finish(AuditHead expected) {
        if (head.number() < expected.number()) {
            findings.add(new AuditFinding.Missing(head.number() + 1, expected.number()));
        } else if (head.number() == expected.number() && !head.equals(expected)) {
            changed(head.number(), "", -1, "its digest is not the one in the replicated state");
        }
    }

    /**
     * Returns what was found.
     *
     * @return empty for a whole chain
     */
    public List<AuditFinding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Returns the chain's end so far.
     *
     * @return the head
     */
    public AuditHead head() {
        return head;
    }

    /**
     * Returns how many records were followed.
     *
     * @return a count
     */
    public long checked() {
        return checked;
    }

    private void changed(long number, String file, long offset, String reason) {
        findings.add(new AuditFinding.Changed(number, file, offset, reason));
    }
}
