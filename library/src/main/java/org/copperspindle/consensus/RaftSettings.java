package org.copperspindle.consensus;

import java.util.List;
import java.util.function.Supplier;

import org.copperspindle.wire.NumericAddress;

/**
 * What a member knows from its settings.
 *
 * @param groupName name of the group; a member of another group is not answered
 * @param name      name of this member
 * @param address   IP:PORT of its own protocol
 * @param operators IP:PORT for operators
 * @param known     voters that are wanted or known, in the same order on all members; the first one founds the group
 * @param roster    rules of membership
 * @param timing    time limits
 * @param limits    bounds
 */
record RaftSettings(
        String groupName,
        String name,
        String address,
        String operators,
        Supplier<List<Voter>> known,
        VoterSource roster,
        RaftTiming timing,
        RaftLimits limits) {

    /**
     * A voter that the settings name.
     *
     * @param name    its name
     * @param address IP:PORT of its own protocol
     */
    record Voter(String name, String address) {}

    RaftSettings(
            String groupName,
            String name,
            String address,
            String operators,
            VoterSource roster,
            RaftTiming timing,
            RaftLimits limits) {
        this(groupName, name, address, operators, () -> voters(roster), roster, timing, limits);
    }

    RaftSettings(
            String groupName,
            String name,
            String address,
            String operators,
            List<Voter> voters,
            RaftTiming timing,
            RaftLimits limits) {
        this(groupName, name, address, operators, () -> voters, VoterSource.fixedVoters(List.of()), timing, limits);
    }

    List<Voter> voters() {
        return known.get();
    }

    Member self(long identity) {
        return new Member(identity, name, address, operators, false);
    }

    /** Says whether a learner of this name may become a voter. */
    boolean admits(String wanted) {
        return roster.isDynamic() || voters().stream().anyMatch(v -> v.name().equals(wanted));
    }

    List<Voter> others() {
        return voters().stream().filter(v -> !v.name().equals(name)).toList();
    }

    String voterNames() {
        return String.join(",", voters().stream().map(Voter::name).toList());
    }

    private static List<Voter> voters(VoterSource roster) {
        return roster.voters().stream()
                .map(v -> new Voter(v.name(), NumericAddress.format(v.address())))
                .toList();
    }
}
