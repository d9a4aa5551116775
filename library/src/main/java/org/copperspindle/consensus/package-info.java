/**
 * The project's Raft implementation: election, replication, snapshots, membership changes and the log on disk. The core
 * is a state machine without I/O ({@link org.copperspindle.consensus.RaftNode});
 * {@link org.copperspindle.consensus.ConsensusLog} runs it on the decision ring.
 */
package org.copperspindle.consensus;
