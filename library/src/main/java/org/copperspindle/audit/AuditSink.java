package org.copperspindle.audit;

/**
 * Stores the records that have been added to the chain. Called on the decision ring; must not block.
 */
public interface AuditSink {

    /** Discards all records; for members without a data directory, and for tests of other parts. */
    AuditSink NONE = new AuditSink() {
        @Override
        public void append(AuditRecord record) {
            // records are discarded
        }

        @Override
        public long durable() {
            return Long.MAX_VALUE;
        }
    };

    /**
     * Stores a record. A record that is already stored is skipped, so that replaying the log is idempotent.
     *
     * @param record the record
     */
    void append(AuditRecord record);

    /**
     * Returns up to which record the trail is durable.
     *
     * @return number of the last record that is synced to disk
     */
    long durable();
}
