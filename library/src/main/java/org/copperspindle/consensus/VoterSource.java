package org.copperspindle.consensus;

import java.util.List;

/**
 * Which members a group should have. Either the operator names them, or the members that are found are taken as they
 * come and go. Asked on the decision ring.
 */
public interface VoterSource {

    /**
     * Returns the voters that are wanted, or known.
     *
     * @return in the same order on all members; the first one founds the group
     */
    List<VoterAddress> voters();

    /**
     * Says whether a group may be founded now. A member that lost its disk must not found a second group beside the one
     * that it has forgotten.
     *
     * @return false if this member may only join
     */
    boolean mayBootstrap();

    /**
     * Says whether every member that asks becomes a voter, and one that stays silent is removed.
     *
     * @return false if the operator names the voters
     */
    boolean isDynamic();

    /**
     * Returns how many voters a removal must leave.
     *
     * @return enough to bear the losses that the group must bear at once
     */
    int minVoters();

    /**
     * Makes the roster of a group whose voters the operator names.
     *
     * @param voters the voters, in the same order on all members
     * @return a roster that never changes
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
