package org.copperspindle.control;

import java.util.List;
import java.util.Map;

/**
 * What one control member knows, for operators.
 *
 * @param leads     whether it leads; only then are members and changes known
 * @param leader    operators' IP:PORT of the leader, empty if none is known
 * @param term      its term
 * @param version   newest configuration version that it knows
 * @param digest    SHA-256 of that version's text in hexadecimal
 * @param revision  membership revision
 * @param members   processes that were heard of within a lease
 * @param upstreams number of upstreams by pool, those draining apart
 * @param changes   changes that are not yet in force everywhere
 */
public record ControlStatus(
        boolean leads,
        String leader,
        long term,
        long version,
        String digest,
        long revision,
        List<MemberStatus> members,
        Map<String, PoolStatus> upstreams,
        List<ChangeStatus> changes) {

    /**
     * A process.
     *
     * @param id               its identity
     * @param role             {@code entry} or {@code agent}
     * @param version          version in force at it, 0 if none is yet
     * @param leaseMillis      time left of its lease, 0 if it has none and does not serve
     */
    public record MemberStatus(String id, String role, long version, long leaseMillis) {}

    /**
     * A pool.
     *
     * @param serving  upstreams that take new work
     * @param draining upstreams that are leaving
     */
    public record PoolStatus(long serving, long draining) {}

    /**
     * A change under way.
     *
     * @param version  the version that it made
     * @param changeId its identity
     * @param operator who made it
     * @param waiting  what it waits for
     */
    public record ChangeStatus(long version, String changeId, String operator, String waiting) {}
}
