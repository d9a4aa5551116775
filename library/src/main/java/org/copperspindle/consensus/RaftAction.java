package org.copperspindle.consensus;

import org.copperspindle.wire.WireMessage;

/**
 * What {@link RaftNode} wants done. Actions are carried out in the order in which they were decided.
 */
sealed interface RaftAction {

    /**
     * Sends a message; it may get lost.
     *
     * @param address IP:PORT
     * @param message the message
     */
    record Send(String address, WireMessage message) implements RaftAction {}

    /**
     * Writes to the disk and calls {@link RaftNode#persisted} afterwards.
     *
     * @param sequence number of the request, larger for each
     * @param request  what to write
     */
    record Persist(long sequence, PersistRequest request) implements RaftAction {}

    /**
     * Applies a committed command to the state.
     *
     * @param entry the entry
     */
    record Apply(LogEntry entry) implements RaftAction {}

    /**
     * Replaces the state by a snapshot's.
     *
     * @param snapshot the snapshot
     */
    record Restore(LogSnapshot snapshot) implements RaftAction {}

    /**
     * Takes a snapshot of the state and hands it to {@link RaftNode#snapshotTaken}.
     *
     * @param index      last entry applied
     * @param term       its term
     * @param membership members in force there
     */
    record TakeSnapshot(long index, long term, Membership membership) implements RaftAction {}

    /** The member leads no more: what it had proposed and not seen committed is in doubt. */
    record LeadershipLost() implements RaftAction {}
}
