package org.copperspindle.consensus;

import java.time.Duration;

/**
 * Time limits of the protocol, on each member's monotonic clock.
 *
 * @param electionNanos  a member that heard no leader for so long may vote for another; nanoseconds
 * @param heartbeatNanos interval of the leader's heartbeats; nanoseconds
 * @param driftPerMille  how much faster or slower than real time a member's monotonic clock may run
 */
record RaftTiming(long electionNanos, long heartbeatNanos, int driftPerMille) {

    private static final int HEARTBEATS = 5;
    private static final int DEFAULT_DRIFT_PER_MILLE = 10;

    RaftTiming {
        if (heartbeatNanos <= 0 || electionNanos < 2 * heartbeatNanos || driftPerMille < 0 || driftPerMille > 100) {
            throw new IllegalArgumentException("election timeout must be twice the heartbeat or more, drift 0..100");
        }
    }

    static RaftTiming of(Duration election) {
        return new RaftTiming(election.toNanos(), election.toNanos() / HEARTBEATS, DEFAULT_DRIFT_PER_MILLE);
    }

    /**
     * Returns how long the leader's lease lasts from the sending of a request that a quorum answered. With clocks
     * between 1-d and 1+d of real time, a follower refuses votes for at least election/(1+d) of real time and a lease
     * of election*(1-2d) ends after at most election*(1-2d)/(1-d), which is less.
     */
    long leaseNanos() {
        return electionNanos / 1000 * (1000 - 2L * driftPerMille);
    }

    /** Returns after how long without an answer a request is sent again. */
    long resendNanos() {
        return 2 * heartbeatNanos;
    }
}
