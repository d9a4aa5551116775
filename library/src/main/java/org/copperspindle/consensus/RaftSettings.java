package org.copperspindle.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What a member knows from its settings.
 *
 * @param groupName name of the group; a member of another group is not answered
 * @param name      name of this member
 * @param address   IP:PORT of its own protocol
 * @param operators IP:PORT for operators
 * @param voters    voters that the operator wants, in the same order on all members; the first one founds the group
 * @param timing    time limits
 * @param limits    bounds
 */
record RaftSettings(
        String groupName,
        String name,
        String address,
        String operators,
        List<Voter> voters,
        RaftTiming timing,
        RaftLimits limits) {

    /**
     * A voter that the settings name.
     *
     * @param name    its name
     * @param address IP:PORT of its own protocol
     */
    record Voter(String name, String address) {}

    RaftSettings {
        voters = List.copyOf(voters);
    }

    Member self(long identity) {
        return new Member(identity, name, address, operators, false);
    }

    Optional<Voter> voter(String wanted) {
        return voters.stream().filter(v -> v.name().equals(wanted)).findFirst();
    }

    List<Voter> others() {
        return voters.stream().filter(v -> !v.name().equals(name)).toList();
    }

    String voterNames() {
        return String.join(",", voters.stream().map(Voter::name).toList());
    }
}
