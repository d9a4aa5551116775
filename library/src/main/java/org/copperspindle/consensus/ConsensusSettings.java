package org.copperspindle.consensus;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Settings of one member of the replicated log.
 *
 * @param group           name of the group, the same on all members
 * @param name            identity of this process
 * @param address         where other members reach this one
 * @param operators       where operators reach this one
 * @param voters          the voters that are wanted, in the same order on all members; may name this one
 * @param dataFolder      folder on a disk, used by this member alone
 * @param electionTimeout after which a silent leader is replaced; also bounds its lease
 */
public record ConsensusSettings(
        String group,
        String name,
        InetSocketAddress address,
        InetSocketAddress operators,
        List<VoterAddress> voters,
        Path dataFolder,
        Duration electionTimeout) {

    RaftSettings raft(RaftLimits limits) {
        return new RaftSettings(
                group,
                name,
                VoterAddress.format(address),
                VoterAddress.format(operators),
                voters.stream()
                        .map(v -> new RaftSettings.Voter(v.name(), VoterAddress.format(v.address())))
                        .toList(),
                RaftTiming.of(electionTimeout),
                limits);
    }
}
