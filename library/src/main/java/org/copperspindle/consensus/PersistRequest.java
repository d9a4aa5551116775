package org.copperspindle.consensus;

import java.util.List;

/**
 * A request to the disk. Requests are executed in order; one is acknowledged once all its bytes are synced.
 */
sealed interface PersistRequest {

    /**
     * Replaces the hard state.
     *
     * @param state the new one
     */
    record SaveHardState(HardState state) implements PersistRequest {}

    /**
     * Appends entries, after truncating the log from the index of the first one on.
     *
     * @param entries consecutive entries, at least one
     */
    record AppendEntries(List<LogEntry> entries) implements PersistRequest {}

    /**
     * Saves a snapshot and deletes the segments that it covers.
     *
     * @param snapshot the snapshot
     * @param reset    true to delete the whole log, because the snapshot came from the leader
     */
    record SaveSnapshot(LogSnapshot snapshot, boolean reset) implements PersistRequest {}
}
