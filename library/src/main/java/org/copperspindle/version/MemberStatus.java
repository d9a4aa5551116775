package org.copperspindle.version;

/**
 * What a member of the control group knows about its leader.
 *
 * @param term   the leader's term, 0 if none is known
 * @param leader name of the leader's node, empty if none is known
 * @param leads  true if this member is the leader
 */
public record MemberStatus(long term, String leader, boolean leads) {

    /** Status without a known leader. */
    public static final MemberStatus NONE = new MemberStatus(0, "", false);
}
