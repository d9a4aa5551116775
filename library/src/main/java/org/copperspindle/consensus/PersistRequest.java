package org.copperspindle.consensus;

import java.util.List;

/**
 * Work for the disk. Requests are carried out in order; one is answered once all its bytes are synced.
 */
sealed interface PersistRequest {

    /**
     * Replaces the hard state.
     *
     * @param state the new one
     */
    record SaveHardState(HardState state) implements PersistRequest {}

    /**
     * Appends entries, after cutting off whatever the log holds from the first one's index on.
     *
     * @param entries consecutive entries, at least one
     */
    record AppendEntries(List<LogEntry> entries) implements PersistRequest {}

    /**
     * Saves a snapshot and drops the segments that it covers.
     *
     * @param snapshot the snapshot
     * @param reset    true to drop the whole log, because the snapshot came from the leader
     */
    record SaveSnapshot(LogSnapshot snapshot, boolean reset) implements PersistRequest {}
}
