package org.copperspindle.version;

import java.util.OptionalInt;

/**
 * What a member of the control group knows about its leader.
 *
 * @param term   the leader's term, 0 if none is known
 * @param leader name of the leader's node, empty if none is known
 * @param leads  true if this member is the leader
 * @param spareVoters how many more voters the group can lose, known to its leader only
 */
public record MemberStatus(long term, String leader, boolean leads, OptionalInt spareVoters) {

    /** Status without a known leader. */
    public static final MemberStatus NONE = new MemberStatus(0, "", false);

    /**
     * Creates a status that doesn't tell how many voters can be lost.
     *
     * @param term   the leader's term, 0 if none is known
     * @param leader name of the leader's node, empty if none is known
     * @param leads  true if this member is the leader
     */
    public MemberStatus(long term, String leader, boolean leads) {
        this(term, leader, leads, OptionalInt.empty());
    }

    /** Returns whether another status names the same leader in the same term. */
    boolean hasSameLeader(MemberStatus other) {
        return term == other.term && leader.equals(other.leader) && leads == other.leads;
    }
}
