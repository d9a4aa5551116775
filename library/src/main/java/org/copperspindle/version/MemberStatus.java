package org.copperspindle.version;

/**
 * What a member of the control group knows of its leader.
 *
 * @param term   the leader's term, 0 if none is known
 * @param leader name of the leader's node, empty if none is known
 * @param leads  true if this member leads
 */
public record MemberStatus(long term, String leader, boolean leads) {

    /** No leader is known. */
    public static final MemberStatus NONE = new MemberStatus(0, "", false);
}
