/**
 * The project's own consensus: election, replication, snapshots, change of voters and the log on disk. The core is a
 * pure state machine ({@link org.copperspindle.consensus.RaftNode}); {@link org.copperspindle.consensus.ConsensusLog}
 * runs it on the decision ring.
 */
package org.copperspindle.consensus;
