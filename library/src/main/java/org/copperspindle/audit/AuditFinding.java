package org.copperspindle.audit;

/**
 * A problem found by verifying the chain.
 */
public sealed interface AuditFinding {

    /**
     * Returns a description of the finding.
     *
     * @return one line
     */
    String text();

    /**
     * A record was modified, or does not follow the previous record.
     *
     * @param number number of the record, or the one expected at this place if it can't be read
     * @param file   file name, empty for records read over the network
     * @param offset offset of the record's first byte in the file, -1 for records read over the network
     * @param reason description of the problem
     */
    record Changed(long number, String file, long offset, String reason) implements AuditFinding {
        @Override
        public String text() {
            String place = file.isEmpty() ? "" : " file=" + file + " offset=" + offset;
            return "changed record=" + number + place + " reason=\"" + reason + "\"";
        }
    }

    /**
     * Records are missing here; another member may have them.
     *
     * @param first first missing number
     * @param last  last missing number
     */
    record Missing(long first, long last) implements AuditFinding {
        @Override
        public String text() {
            return "missing first=" + first + " last=" + last;
        }
    }
}
