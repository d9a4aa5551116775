package org.copperspindle.audit;

/**
 * Where records go once they have their place in the chain. Called on the decision ring; must not block.
 */
public interface AuditSink {

    /** Keeps nothing. For members without a data folder and for tests of other slices. */
    AuditSink NONE = new AuditSink() {
        @Override
        public void append(AuditRecord record) {
            // nothing is kept
        }

        @Override
        public long durable() {
            return Long.MAX_VALUE;
        }
    };

    /**
     * Takes a record. A record that is already kept is skipped, so that replaying the log is harmless.
     *
     * @param record the record
     */
    void append(AuditRecord record);

    /**
     * Returns how far the records are on disk.
     *
     * @return number of the last record that is synced
     */
    long durable();
}
