package org.copperspindle.control;

import org.copperspindle.wire.Peer;

/**
 * One life of a member as the leader sees it; gone with the leader, rebuilt from renewals.
 */
final class Member {

    private final String id;
    private final boolean agent;
    private Peer peer;
    private long seenUntil;
    private long leasedUntil = Long.MIN_VALUE;
    private long configVersion;
    private long textVersion;
    private long membershipRevision;
    private String upstreamId = "";
    private long incarnation;
    private byte[] announcing = new byte[0];

    Member(String id, boolean agent) {
        this.id = id;
        this.agent = agent;
    }

    String id() {
        return id;
    }

    boolean isAgent() {
        return agent;
    }

    Peer peer() {
        return peer;
    }

    /** Takes a new connection; what was pushed over the old one may have been lost with it. */
    void connected(Peer newPeer, long heldText, long seenRevision) {
        peer = newPeer;
        textVersion = heldText;
        membershipRevision = seenRevision;
    }

    /** Takes a report and says whether it is of a newer version than the one before. */
    boolean seen(long until, long version) {
        seenUntil = until;
        // One life never goes back, so a lower version comes from an older message.
        boolean newer = version > configVersion;
        configVersion = Math.max(configVersion, version);
        return newer;
    }

    void leased(long until) {
        leasedUntil = until;
    }

    boolean hasLease(long now) {
        return leasedUntil > now;
    }

    boolean isGone(long now) {
        return seenUntil <= now && !hasLease(now);
    }

    long leaseLeft(long now) {
        return Math.max(0, leasedUntil - now);
    }

    long configVersion() {
        return configVersion;
    }

    long textVersion() {
        return textVersion;
    }

    long membershipRevision() {
        return membershipRevision;
    }

    void pushed(long version, long revision) {
        textVersion = Math.max(textVersion, version);
        membershipRevision = Math.max(membershipRevision, revision);
    }

    String upstreamId() {
        return upstreamId;
    }

    long incarnation() {
        return incarnation;
    }

    byte[] announcing() {
        return announcing;
    }

    void announces(String upstream, long life) {
        upstreamId = upstream;
        incarnation = life;
    }

    void announcing(byte[] announcement) {
        announcing = announcement;
    }
}
