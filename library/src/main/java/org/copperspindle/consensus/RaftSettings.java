package org.copperspindle.consensus;

import java.util.List;
import java.util.function.Supplier;

import org.copperspindle.wire.NumericAddress;

/**
 * Settings of a member, as the consensus core uses them.
 *
 * @param groupName       name of the group; members of other groups are ignored
 * @param name            name of this member
 * @param address         IP:PORT of its internal protocol
 * @param operatorAddress IP:PORT for operators
 * @param knownVoters     voters that are configured or discovered, in the same order on all members; the first one
 *                        bootstraps the group
 * @param voterSource     rules of membership
 * @param timing          time limits
 * @param limits          bounds
 */
record RaftSettings(
        String groupName,
        String name,
        String address,
        String operatorAddress,
        Supplier<List<Voter>> knownVoters,
        VoterSource voterSource,
        RaftTiming timing,
        RaftLimits limits) {

    /**
     * A voter that the settings name.
     *
     * @param name    its name
     * @param address IP:PORT of its internal protocol
     */
    record Voter(String name, String address) {}

    RaftSettings(
            String groupName,
            String name,
            String address,
            String operatorAddress,
            VoterSource voterSource,
            RaftTiming timing,
            RaftLimits limits) {
        this(groupName, name, address, operatorAddress, () -> voters(voterSource), voterSource, timing, limits);
    }

    RaftSettings(
            String groupName,
            String name,
            String address,
            String operatorAddress,
            List<Voter> voters,
            RaftTiming timing,
            RaftLimits limits) {
        this(
                groupName,
                name,
                address,
                operatorAddress,
                () -> voters,
                VoterSource.fixedVoters(List.of()),
                timing,
                limits);
    }

    List<Voter> voters() {
        return knownVoters.get();
    }

    Member self(long identity) {
        return new Member(identity, name, address, operatorAddress, false);
    }

    /** Returns whether a learner of this name may become a voter. */
    boolean mayBecomeVoter(String learner) {
        return voterSource.isDynamic()
                || voters().stream().anyMatch(v -> v.name().equals(learner));
    }

    List<Voter> others() {
        return voters().stream().filter(v -> !v.name().equals(name)).toList();
    }

    String voterNames() {
        return String.join(",", voters().stream().map(Voter::name).toList());
    }

    private static List<Voter> voters(VoterSource voterSource) {
        return voterSource.voters().stream()
                .map(v -> new Voter(v.name(), NumericAddress.format(v.address())))
                .toList();
    }
}
