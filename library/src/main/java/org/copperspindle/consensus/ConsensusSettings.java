package org.copperspindle.consensus;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.copperspindle.wire.NumericAddress;

/**
 * Settings of one member of the replicated log.
 *
 * @param group               name of the group, the same on all members
 * @param name                identity of this process
 * @param address             address at which other members reach this one
 * @param operatorAddress     address at which operators reach this one
 * @param voterSource         supplies the voters of the group
 * @param entriesReplaceState true if each entry replaces the state, so that few old entries are worth their memory
 * @param dataFolder          folder on a disk, used by this member alone
 * @param electionTimeout     time after which an unresponsive leader is replaced; also bounds its lease
 */
public record ConsensusSettings(
        String group,
        String name,
        InetSocketAddress address,
        InetSocketAddress operatorAddress,
        VoterSource voterSource,
        boolean entriesReplaceState,
        Path dataFolder,
        Duration electionTimeout) {

    /**
     * Creates the settings of a member of a group whose voters the operator configures.
     *
     * @param group           name of the group, the same on all members
     * @param name            identity of this process
     * @param address         address at which other members reach this one
     * @param operatorAddress address at which operators reach this one
     * @param voters          the voters of the group, in the same order on all members; may include this one
     * @param dataFolder      folder on a disk, used by this member alone
     * @param electionTimeout time after which an unresponsive leader is replaced; also bounds its lease
     */
    public ConsensusSettings(
            String group,
            String name,
            InetSocketAddress address,
            InetSocketAddress operatorAddress,
            List<VoterAddress> voters,
            Path dataFolder,
            Duration electionTimeout) {
        this(
                group,
                name,
                address,
                operatorAddress,
                VoterSource.fixedVoters(voters),
                false,
                dataFolder,
                electionTimeout);
    }

    RaftLimits limits() {
        return entriesReplaceState ? RaftLimits.FULL_STATE_ENTRIES : RaftLimits.DEFAULT;
    }

    RaftSettings raft(RaftLimits limits) {
        return new RaftSettings(
                group,
                name,
                NumericAddress.format(address),
                NumericAddress.format(operatorAddress),
                voterSource,
                RaftTiming.of(electionTimeout),
                limits);
    }
}
