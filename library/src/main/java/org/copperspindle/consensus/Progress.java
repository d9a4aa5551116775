package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Replication progress of one other member, as the leader knows it.
 */
final class Progress {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Deque<Long> inFlight = new ArrayDeque<>();
    private long match;
    private long next;
    private long lastReplyAt;
    private long heardAt;
    private long ackedRequestSentAt = NEVER;
    private long advancedAt;

    /**
     * Creates the progress of a member that has not replied in this term.
     *
     * @param next    index of the first entry to send
     * @param heardAt when the member was last heard before this term, on this member's clock in nanoseconds
     * @param now     the same clock now
     */
    Progress(long next, long heardAt, long now) {
        this.next = next;
        this.heardAt = heardAt;
        this.lastReplyAt = now;
        this.advancedAt = now;
    }

    /** Returns the index up to which the member holds the leader's log on its disk. */
    long match() {
        return match;
    }

    long next() {
        return next;
    }

    /** Returns when the member replied last; the begin of the term counts as a reply, as it had no time for one. */
    long lastReplyAt() {
        return lastReplyAt;
    }

    /** Returns when the member was last heard, in this term or before. */
    long heardAt() {
        return heardAt;
    }

    /** Returns when the newest request to which the member replied was sent, on the leader's clock. */
    long ackedRequestSentAt() {
        return ackedRequestSentAt;
    }

    int inFlight() {
        return inFlight.size();
    }

    void sent(long last, long now) {
        if (inFlight.isEmpty()) {
            advancedAt = now;
        }
        inFlight.addLast(last);
        next = last + 1;
    }

    /** Forgets requests that were not sent: the first of them and those after it. */
    void notSent(long prevIndex) {
        inFlight.removeIf(last -> last > prevIndex);
        next = Math.max(match + 1, Math.min(next, prevIndex + 1));
    }

    void replied(long sentAt, long now) {
        lastReplyAt = now;
        heardAt = now;
        ackedRequestSentAt = Math.max(ackedRequestSentAt, sentAt);
    }

    void matched(long index, long now) {
        if (index > match) {
            match = index;
            advancedAt = now;
        }
        next = Math.max(next, match + 1);
        while (!inFlight.isEmpty() && inFlight.peekFirst() <= match) {
            inFlight.pollFirst();
        }
    }

    void rejected(long hint) {
        inFlight.clear();
        next = Math.max(match + 1, Math.min(next, hint + 1));
    }

    /** Discards overdue requests, so that their entries are sent again. */
    void resendIfOverdue(long now, long resendNanos) {
        if (!inFlight.isEmpty() && now - advancedAt >= resendNanos) {
            inFlight.clear();
            next = match + 1;
            advancedAt = now;
        }
    }
}
