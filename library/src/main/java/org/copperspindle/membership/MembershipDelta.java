package org.copperspindle.membership;

import java.util.List;

/**
 * Difference between the membership that a member knows and the current one.
 *
 * @param full      whether it replaces everything that the member knew
 * @param revision  membership revision after this delta
 * @param upstreams encoded {@link UpstreamAnnouncement}s that are new or changed
 * @param removed   identities of removed upstreams, in UTF-8
 */
public record MembershipDelta(boolean full, long revision, List<byte[]> upstreams, List<byte[]> removed) {}
