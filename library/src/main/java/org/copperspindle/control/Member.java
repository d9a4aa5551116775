package org.copperspindle.control;

import java.util.Arrays;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.Peer;

/**
 * One incarnation of a member as the leader knows it. It is not replicated; a new leader rebuilds it from renewals.
 */
final class Member {

    private static final Logger LOGGER = LogManager.getLogger(Member.class);

    private final String key;
    private final String id;
    private final boolean agent;
    private Peer peer;
    private long seenUntil;
    private long leasedUntil = Long.MIN_VALUE;
    private long configVersion;
    private long textVersion;
    private long membershipRevision;
    private UpstreamAnnouncement announcement;
    private byte[] lastEncoded = new byte[0];
    private boolean announcing;

    Member(String key, String id, boolean agent) {
        this.key = key;
        this.id = id;
        this.agent = agent;
    }

    /** Returns the key of this incarnation of the member. */
    String key() {
        return key;
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

    /** Sets a new connection; what was pushed over the old one may have been lost with it. */
    void connected(Peer newPeer, long heldText, long seenRevision) {
        peer = newPeer;
        textVersion = heldText;
        membershipRevision = seenRevision;
    }

    /** Records a reported version and returns whether it is newer than the one before. */
    boolean recordReport(long until, long version) {
        seenUntil = until;
        // One incarnation never goes back to an older version, so a lower version comes from an older message.
        boolean newer = version > configVersion;
        configVersion = Math.max(configVersion, version);
        return newer;
    }

    void extendLease(long until) {
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

    void recordPush(long version, long revision) {
        textVersion = Math.max(textVersion, version);
        membershipRevision = Math.max(membershipRevision, revision);
    }

    String upstreamId() {
        return announcement == null ? "" : announcement.upstreamId();
    }

    /** Returns what the agent announced last; null for an entry. */
    UpstreamAnnouncement announcement() {
        return announcement;
    }

    /**
     * Updates the announcement from a renewal. Most renewals repeat the one before, which is not decoded again.
     *
     * @param encoded the announcement, empty if none came
     * @return whether the member has announced an upstream
     */
    boolean updateAnnouncement(byte[] encoded) {
        if (encoded.length > 0 && !Arrays.equals(encoded, lastEncoded)) {
            lastEncoded = encoded;
            try {
                announcement = UpstreamAnnouncement.CODEC.decode(encoded);
            } catch (MalformedFrameException e) {
                LOGGER.warn("event=announcement-malformed member={}", id);
            }
        }
        return announcement != null;
    }

    /** Returns whether an announcement is proposed to the log and not decided yet. */
    boolean announcing() {
        return announcing;
    }

    void announcing(boolean proposed) {
        announcing = proposed;
    }
}
