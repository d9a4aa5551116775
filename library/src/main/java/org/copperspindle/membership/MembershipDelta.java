package org.copperspindle.membership;

import java.util.List;

/**
 * What a member lacks of the membership.
 *
 * @param full      whether it replaces all that the member knew
 * @param revision  revision after it
 * @param upstreams encoded {@link UpstreamAnnouncement}s that are new or changed
 * @param removed   identities of upstreams that are gone, in UTF-8
 */
public record MembershipDelta(boolean full, long revision, List<byte[]> upstreams, List<byte[]> removed) {}
