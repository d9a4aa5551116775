package org.copperspindle.audit;

/**
 * What a check of the chain found.
 */
public sealed interface AuditFinding {

    /**
     * Returns the finding in words.
     *
     * @return one line
     */
    String text();

    /**
     * A record is not what was written, or does not follow the one before.
     *
     * @param number number of the record, or the one expected at this place if it can't be read
     * @param file   file name, empty for records read over the network
     * @param offset offset of the record's first byte in the file, -1 for records read over the network
     * @param reason what is wrong
     */
    record Changed(long number, String file, long offset, String reason) implements AuditFinding {
        @Override
        public String text() {
            String place = file.isEmpty() ? "" : " file=" + file + " offset=" + offset;
            return "changed record=" + number + place + " reason=\"" + reason + "\"";
        }
    }

    /**
     * Records are not held here; another member may hold them.
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
