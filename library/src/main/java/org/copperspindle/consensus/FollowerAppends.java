package org.copperspindle.consensus;

import java.util.List;

/**
 * Handles append requests at a follower.
 */
final class FollowerAppends {

    private final RaftState state;

    FollowerAppends(RaftState state) {
        this.state = state;
    }

    /** Handles a request of the leader of this term. */
    void receive(AppendRequestMessage request) {
        if (!matches(request.prevIndex(), request.prevTerm())) {
            long hint = Math.min(request.prevIndex() - 1, state.log().lastIndex());
            // Committed entries are equal on both sides, so a match is found there at the latest.
            boolean shorter = state.log().lastIndex() < request.prevIndex();
            reply(request, false, shorter ? hint : Math.min(hint, state.commit()), state.hardStateSequence());
            return;
        }
        appendNew(request.entries());
        long sequence = Math.max(state.persistTail(), state.hardStateSequence());
        long matched = request.prevIndex() + request.entries().size();
        state.commitTo(Math.min(request.commit(), matched));
        if (request.entries().isEmpty()) {
            // A heartbeat is answered at once, even while the disk is busy, but acknowledges only what is synced.
            reply(request, true, Math.min(matched, state.durable()), state.hardStateSequence());
        } else {
            reply(request, true, matched, sequence);
        }
        state.applyCommitted();
    }

    private boolean matches(long index, long term) {
        return index <= state.applied() || state.log().termAt(index) == term;
    }

    private void appendNew(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.index() <= state.applied()) {
                continue;
            }
            if (entry.index() <= state.log().lastIndex()) {
                if (state.log().termAt(entry.index()) == entry.term()) {
                    continue;
                }
                truncateConflict(entry.index());
            }
            state.log().append(entry);
        }
    }

    private void truncateConflict(long index) {
        if (index <= state.commit()) {
            // Only a bug in this program can cause this; continuing would change entries that were reported as
            // committed.
            throw new IllegalStateException("leader sent a conflicting entry for committed index " + index);
        }
        state.truncateFrom(index);
    }

    private void reply(AppendRequestMessage request, boolean matched, long index, long sequence) {
        AppendReplyMessage reply =
                new AppendReplyMessage(state.replyEnvelope(request.envelope()), matched, index, request.sentAt());
        state.sendAfter(sequence, request.envelope().address(), reply);
    }
}
