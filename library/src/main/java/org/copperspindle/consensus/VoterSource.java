package org.copperspindle.consensus;

import java.util.List;

/**
 * Supplies the voters that a group should have: either the operator configures them, or members are discovered as they
 * come and go. Called on the decision ring.
 */
public interface VoterSource {

    /**
     * Returns the configured or discovered voters.
     *
     * @return the voters, in the same order on all members; the first one bootstraps the group
     */
    List<VoterAddress> voters();

    /**
     * Returns whether the whole deployment starts for the first time. Only a member whose folder was first used then may
     * bootstrap a group: another one may have lost the disk that held its group.
     *
     * @return false if a member with an empty folder may only join
     */
    default boolean isFirstStart() {
        return true;
    }

    /**
     * Returns whether enough other members are known to bootstrap a group now.
     *
     * @return false while a group may exist that is not known here
     */
    boolean mayBootstrap();

    /**
     * Returns whether every member that asks becomes a voter, and one that stops replying is removed.
     *
     * @return false if the operator configures the voters
     */
    boolean isDynamic();

    /**
     * Returns how many voters must remain after a removal.
     *
     * @return the number that the group needs to tolerate the required number of simultaneous losses
     */
    int minVoters();

    /**
     * Creates the source for a group whose voters the operator configures.
     *
     * @param voters the voters, in the same order on all members
     * @return a source that never changes
     */
    static VoterSource fixedVoters(List<VoterAddress> voters) {
        List<VoterAddress> fixed = List.copyOf(voters);
        return new VoterSource() {
            @Override
            public List<VoterAddress> voters() {
                return fixed;
            }

            @Override
            public boolean mayBootstrap() {
                return true;
            }

            @Override
            public boolean isDynamic() {
                return false;
            }

            @Override
            public int minVoters() {
                return fixed.size();
            }
        };
    }
}
