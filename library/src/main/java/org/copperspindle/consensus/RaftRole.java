package org.copperspindle.consensus;

/**
 * Role of a member in its term.
 */
enum RaftRole {
    /** Follows a leader or waits for one. */
    FOLLOWER,
    /** Asks for pre-votes. */
    PRE_CANDIDATE,
    /** Stands for election. */
    CANDIDATE,
    /** Leads. */
    LEADER
}
