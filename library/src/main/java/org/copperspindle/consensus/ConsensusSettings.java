package org.copperspindle.consensus;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.copperspindle.wire.NumericAddress;

/**
 * Settings of one member of the replicated log.
 *
 * @param group           name of the group, the same on all members
 * @param name            identity of this process
 * @param address         where other members reach this one
 * @param operators       where operators reach this one
 * @param roster          the voters that are wanted
 * @param wholeTexts      true if each entry replaces the state, so that few old ones are worth their memory
 * @param dataFolder      folder on a disk, used by this member alone
 * @param electionTimeout after which a silent leader is replaced; also bounds its lease
 */
public record ConsensusSettings(
        String group,
        String name,
        InetSocketAddress address,
        InetSocketAddress operators,
        VoterSource roster,
        boolean wholeTexts,
        Path dataFolder,
        Duration electionTimeout) {

    /**
     * Settings of a member of a group whose voters the operator names.
     *
     * @param group           name of the group, the same on all members
     * @param name            identity of this process
     * @param address         where other members reach this one
     * @param operators       where operators reach this one
     * @param voters          the voters that are wanted, in the same order on all members; may name this one
     * @param dataFolder      folder on a disk, used by this member alone
     * @param electionTimeout after which a silent leader is replaced; also bounds its lease
     */
    public ConsensusSettings(
            String group,
            String name,
            InetSocketAddress address,
            InetSocketAddress operators,
            List<VoterAddress> voters,
            Path dataFolder,
            Duration electionTimeout) {
        this(group, name, address, operators, VoterSource.fixedVoters(voters), false, dataFolder, electionTimeout);
    }

    RaftLimits limits() {
        return wholeTexts ? RaftLimits.WHOLE_TEXTS : RaftLimits.DEFAULT;
    }

    RaftSettings raft(RaftLimits limits) {
        return new RaftSettings(
                group,
                name,
                NumericAddress.format(address),
                NumericAddress.format(operators),
                roster,
                RaftTiming.of(electionTimeout),
                limits);
    }
}
