package org.copperspindle.consensus;

import java.util.List;

/**
 * The follower's side of replication.
 */
final class FollowerAppends {

    private final RaftState state;

    FollowerAppends(RaftState state) {
        this.state = state;
    }

    /** Takes a request of the leader of this term. */
    void receive(AppendRequestMessage request) {
        if (!holds(request.prevIndex(), request.prevTerm())) {
            long hint = Math.min(request.prevIndex() - 1, state.log().lastIndex());
            // Everything committed is alike on both sides, so there is a match there at the latest.
            boolean behind = state.log().lastIndex() < request.prevIndex();
            reply(request, false, behind ? hint : Math.min(hint, state.commit()), state.hardSequence());
            return;
        }
        take(request.entries());
        long sequence = Math.max(state.persistTail(), state.hardSequence());
        long matched = request.prevIndex() + request.entries().size();
        state.commitTo(Math.min(request.commit(), matched));
        if (request.entries().isEmpty()) {
            // A heartbeat is answered at once, also while the disk is busy, but vouches only for what is synced.
            reply(request, true, Math.min(matched, state.durable()), state.hardSequence());
        } else {
            reply(request, true, matched, sequence);
        }
        state.applyCommitted();
    }

    private boolean holds(long index, long term) {
        return index <= state.applied() || state.log().termAt(index) == term;
    }

    private void take(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.index() <= state.applied()) {
                continue;
            }
            if (entry.index() <= state.log().lastIndex()) {
                if (state.log().termAt(entry.index()) == entry.term()) {
                    continue;
                }
                dropConflict(entry.index());
            }
            state.log().append(entry);
        }
    }

    private void dropConflict(long index) {
        if (index <= state.commit()) {
            // Can only be a fault of this program; going on would change what was promised.
            throw new IllegalStateException("leader contradicts committed entry " + index);
        }
        state.truncateFrom(index);
    }

    private void reply(AppendRequestMessage request, boolean matched, long index, long sequence) {
        AppendReplyMessage reply =
                new AppendReplyMessage(state.answer(request.envelope()), matched, index, request.sentAt());
        state.sendAfter(sequence, request.envelope().address(), reply);
    }
}
