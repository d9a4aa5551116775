package org.copperspindle.consensus;

/**
 * What a member does in its term.
 */
enum RaftRole {
    /** Follows a leader or waits for one. */
    FOLLOWER,
    /** Asks whether it would be elected. */
    PRE_CANDIDATE,
    /** Stands for election. */
    CANDIDATE,
    /** Leads. */
    LEADER
}
