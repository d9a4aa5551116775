package org.copperspindle.consensus;

import org.copperspindle.wire.WireMessage;

/**
 * An action requested by {@link RaftNode}. Actions are executed in the order in which they were requested.
 */
sealed interface RaftAction {

    /**
     * Sends a message; it may get lost. One that finds no room on its connection is passed to {@link RaftNode#notSent}.
     *
     * @param address IP:PORT
     * @param message the message
     */
    record Send(String address, WireMessage message) implements RaftAction {}

    /**
     * Writes to the disk and then calls {@link RaftNode#persisted}.
     *
     * @param sequence number of the request, increasing
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
     * Replaces the state by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    record Restore(LogSnapshot snapshot) implements RaftAction {}

    /**
     * Takes a snapshot of the state and passes it to {@link RaftNode#snapshotTaken}.
     *
     * @param index      last entry applied
     * @param term       its term
     * @param membership members in force at that entry
     */
    record TakeSnapshot(long index, long term, Membership membership) implements RaftAction {}

    /**
     * Reports that the member was the leader after it was asked, and that the state holds what was committed before.
     *
     * @param number number of the question
     */
    record Confirmed(long number) implements RaftAction {}

    /** The member is no longer the leader: it is unknown whether proposals without a result will be committed. */
    record LeadershipLost() implements RaftAction {}
}
