package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What the leader knows of one other member.
 */
final class Progress {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Deque<Long> inFlight = new ArrayDeque<>();
    private long match;
    private long next;
    private long heardAt;
    private long answeredSentAt = NEVER;
    private long movedAt;

    Progress(long next, long now) {
        this.next = next;
        this.heardAt = now;
        this.movedAt = now;
    }

    /** Returns up to where the member holds the leader's log on its disk. */
    long match() {
        return match;
    }

    long next() {
        return next;
    }

    long heardAt() {
        return heardAt;
    }

    /** Returns when the newest request that the member answered was sent, on the leader's clock. */
    long answeredSentAt() {
        return answeredSentAt;
    }

    int inFlight() {
        return inFlight.size();
    }

    void sent(long last, long now) {
        if (inFlight.isEmpty()) {
            movedAt = now;
        }
        inFlight.addLast(last);
        next = last + 1;
    }

    void answered(long sentAt, long now) {
        heardAt = now;
        answeredSentAt = Math.max(answeredSentAt, sentAt);
    }

    void matched(long index, long now) {
        if (index > match) {
            match = index;
            movedAt = now;
        }
        next = Math.max(next, match + 1);
        while (!inFlight.isEmpty() && inFlight.peekFirst() <= match) {
            inFlight.pollFirst();
        }
    }

    void refused(long hint) {
        inFlight.clear();
        next = Math.max(match + 1, Math.min(next, hint + 1));
    }

    /** Gives up waiting for answers that are overdue, so that the entries are sent again. */
    void resendIfOverdue(long now, long resendNanos) {
        if (!inFlight.isEmpty() && now - movedAt >= resendNanos) {
            inFlight.clear();
            next = match + 1;
            movedAt = now;
        }
    }
}
