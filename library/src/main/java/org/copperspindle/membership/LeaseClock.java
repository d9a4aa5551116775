package org.copperspindle.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A member's count of its own lease. Pure: time comes in as an argument. The lease is counted from when the request was
 * sent, and a share of it is given up for the drift of clocks, so that the member's count ends before the leader's.
 */
final class LeaseClock {

    /** Largest difference of two monotonic clocks' rates that the leases allow for. */
    static final double CLOCK_DRIFT = 0.01;

    private static final int MAX_OUTSTANDING = 64;

    private final Deque<Outstanding> outstanding = new ArrayDeque<>();
    private long nextNumber = 1;
    private long highestTerm;
    private long end;
    private boolean granted;
    private long share;
    private long takenNumber;

    /** Forgets the requests of a connection that ended; the lease itself goes on. */
    void connectionChanged() {
        outstanding.clear();
    }

    /**
     * Numbers a request.
     *
     * @param now     when it is sent, in nanoseconds
     * @param version configuration version that it reports
     * @return its number
     */
    long request(long now, long version) {
        if (outstanding.size() >= MAX_OUTSTANDING) {
            outstanding.pollLast();
        }
        outstanding.add(new Outstanding(nextNumber, now, version, rateShare(now)));
        return nextNumber++;
    }

    /**
     * Takes a grant. Safeguards, each against serving under a version that control has left behind: a grant that
     * answers no open request, comes from an older term, or names a version that the request did not report in force
     * prolongs nothing. The lease then runs out by itself, and control waits for that before it calls a version
     * accepted.
     *
     * @param grant the grant
     * @param now   time in nanoseconds
     * @return true if the lease was prolonged
     */
    boolean grant(LeaseGrantMessage grant, long now) {
        if (!supports(grant.term())) {
            return false;
        }
        while (!outstanding.isEmpty() && outstanding.peek().number() < grant.number()) {
            outstanding.poll();
        }
        if (outstanding.isEmpty() || outstanding.peek().number() != grant.number()) {
            return false;
        }
        Outstanding request = outstanding.poll();
        if (grant.leaseMillis() <= 0 || request.version() != grant.configVersion()) {
            return false;
        }
        long length = (long) (Duration.ofMillis(grant.leaseMillis()).toNanos() * (1 - CLOCK_DRIFT));
        long granting = request.sentAt() + length;
        if (granting <= now || granted && granting <= end) {
            return false;
        }
        // A leader that says to go on counts on what was reported to it: a larger share that came in between, from its
        // earlier term over the same connection, would be used without its knowledge.
        share = grant.rateShare() == LeaseGrantMessage.KEEP_SHARE
                ? Math.min(rateShare(now), request.rateShare())
                : grant.rateShare();
        takenNumber = grant.number();
        end = granting;
        granted = true;
        return true;
    }

    /**
     * Says whether a message of a term still counts, and remembers the term.
     *
     * @param term term of the sender
     * @return false if a later leader was heard before
     */
    boolean supports(long term) {
        if (term < highestTerm) {
            return false;
        }
        highestTerm = term;
        return true;
    }

    /**
     * Says whether the lease is held. Asked at each request rather than remembered: the timer that notices its end may
     * be late when the process was paused.
     *
     * @param now time in nanoseconds
     * @return true if the member may serve
     */
    boolean held(long now) {
        return granted && now < end;
    }

    /**
     * Returns the part of every account's rate that may be used. It ends with the lease: control then gives it to others.
     *
     * @param now time in nanoseconds
     * @return parts of {@link LeaseGrantMessage#WHOLE_RATE}
     */
    long rateShare(long now) {
        return held(now) ? share : 0;
    }

    /** Returns the number of the last grant that was taken, 0 for none. */
    long takenNumber() {
        return takenNumber;
    }

    boolean everHeld() {
        return granted;
    }

    long left(long now) {
        return end - now;
    }

    /**
     * Returns how long the oldest open request has waited.
     *
     * @param now time in nanoseconds
     * @return nanoseconds, 0 if none is open
     */
    long waiting(long now) {
        return outstanding.isEmpty() ? 0 : now - outstanding.peek().sentAt();
    }

    private record Outstanding(long number, long sentAt, long version, long rateShare) {}
}
