package org.copperspindle.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks a member's own lease. It reads no clock; time is passed as an argument. The lease runs from when the request
 * was sent, and is shortened to allow for clock drift, so that it ends at the member before it ends at the leader.
 */
final class LeaseClock {

    /** Largest relative difference between the rates of two monotonic clocks for which leases allow. */
    static final double CLOCK_DRIFT = 0.01;

    private static final int MAX_OUTSTANDING = 64;

    private final Deque<Outstanding> outstanding = new ArrayDeque<>();
    private long nextNumber = 1;
    private long highestTerm;
    private long end;
    private boolean granted;
    private long share;
    private long lastGrantNumber;

    /** Discards the outstanding requests of a closed connection; the lease itself continues. */
    void connectionChanged() {
        outstanding.clear();
    }

    /**
     * Registers a request.
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
     * Applies a grant. To prevent service under a version that control has already replaced, a grant that matches no
     * outstanding request, comes from an older term, or names a version that the request did not report as in force
     * doesn't extend the lease. The lease then expires, and control waits for that before it reports a version as
     * accepted.
     *
     * @param grant the grant
     * @param now   time in nanoseconds
     * @return true if the lease was extended
     */
    boolean grant(LeaseGrantMessage grant, long now) {
        if (!acceptTerm(grant.term())) {
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
        long newEnd = request.sentAt() + length;
        if (newEnd <= now || granted && newEnd <= end) {
            return false;
        }
        // With KEEP_SHARE the leader assumes the share that this request reported. It doesn't know of a larger share
        // that arrived in between, from its earlier term over the same connection.
        share = grant.rateShare() == LeaseGrantMessage.KEEP_SHARE
                ? Math.min(rateShare(now), request.rateShare())
                : grant.rateShare();
        lastGrantNumber = grant.number();
        end = newEnd;
        granted = true;
        return true;
    }

    /**
     * Returns whether a message of a term is still valid, and records the term.
     *
     * @param term term of the sender
     * @return false if a message of a later term was received before
     */
    boolean acceptTerm(long term) {
        if (term < highestTerm) {
            return false;
        }
        highestTerm = term;
        return true;
    }

    /**
     * Returns whether the lease is held. Evaluated for each request rather than stored, since the timer for its end may
     * be late after a process pause.
     *
     * @param now time in nanoseconds
     * @return true if the member may serve
     */
    boolean isHeld(long now) {
        return granted && now < end;
    }

    /**
     * Returns the share of every account's rate that may be used. It ends with the lease, since control then gives it
     * to others.
     *
     * @param now time in nanoseconds
     * @return parts of {@link LeaseGrantMessage#WHOLE_RATE}
     */
    long rateShare(long now) {
        return isHeld(now) ? share : 0;
    }

    /** Returns the number of the last grant that was applied, 0 for none. */
    long lastGrantNumber() {
        return lastGrantNumber;
    }

    boolean everHeld() {
        return granted;
    }

    long remainingNanos(long now) {
        return end - now;
    }

    /**
     * Returns how long the oldest outstanding request has been waiting.
     *
     * @param now time in nanoseconds
     * @return nanoseconds, 0 if none is outstanding
     */
    long oldestWaitNanos(long now) {
        return outstanding.isEmpty() ? 0 : now - outstanding.peek().sentAt();
    }

    private record Outstanding(long number, long sentAt, long version, long rateShare) {}
}
