package org.copperspindle.consensus;

import java.time.Duration;

/**
 * Time limits of the protocol, on each member's monotonic clock.
 *
 * @param electionNanos  time without a message of a leader after which a member may vote for another one; nanoseconds
 * @param heartbeatNanos interval of the leader's heartbeats; nanoseconds
 * @param driftPerMille  how much faster or slower than real time a member's monotonic clock may run, in thousandths
 */
record RaftTiming(long electionNanos, long heartbeatNanos, int driftPerMille) {

    private static final int HEARTBEATS_PER_ELECTION = 5;
    private static final int DEFAULT_DRIFT_PER_MILLE = 10;

    RaftTiming {
        if (heartbeatNanos <= 0 || electionNanos < 2 * heartbeatNanos || driftPerMille < 0 || driftPerMille > 100) {
            throw new IllegalArgumentException("election timeout must be twice the heartbeat or more, drift 0..100");
        }
    }

    static RaftTiming of(Duration election) {
        return new RaftTiming(
                election.toNanos(), election.toNanos() / HEARTBEATS_PER_ELECTION, DEFAULT_DRIFT_PER_MILLE);
    }

    /**
     * Returns the duration of the leader's lease, from the sending of a request to which a quorum replied. With clocks
     * that run at between 1-d and 1+d of real time, a follower refuses votes for at least election/(1+d) of real time,
     * and a lease of election*(1-2d) ends after at most election*(1-2d)/(1-d), which is less.
     */
    long leaseNanos() {
        return electionNanos / 1000 * (1000 - 2L * driftPerMille);
    }

    /** Returns the time without a reply after which a request is sent again. */
    long resendNanos() {
        return 2 * heartbeatNanos;
    }
}
