package org.copperspindle.control;

import java.util.List;
import java.util.Map;

/**
 * Status of one control member, for operators.
 *
 * @param leads     whether it leads; only then are members and changes known
 * @param leader    IP:PORT of the leader for operators, empty if none is known
 * @param term      its term
 * @param version   newest configuration version that it knows
 * @param digest    SHA-256 of that version's text in hexadecimal
 * @param revision  membership revision
 * @param members   processes that contacted the leader within a lease
 * @param upstreams number of upstreams by pool, with draining ones counted separately
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
     * @param leaseMillis      remaining time of its lease, 0 if it has none and does not serve
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
     * A change that is not yet in force everywhere.
     *
     * @param version  the version that it made
     * @param changeId its identity
     * @param operator operator who made it
     * @param waiting  what it is waiting for
     */
    public record ChangeStatus(long version, String changeId, String operator, String waiting) {}
}
