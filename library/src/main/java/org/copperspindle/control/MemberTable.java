package org.copperspindle.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.wire.Peer;

/**
 * The members that have contacted the leader in this term. Two incarnations of one process are two members: an old one
 * that was only paused may still serve until its own lease has expired, whatever the new one reports.
 */
final class MemberTable {

    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<Peer, Member> byPeer = new IdentityHashMap<>();

    /**
     * Returns the member that sent a request, and adds it if it is new.
     *
     * @param peer    its connection
     * @param request the request
     * @return the member
     */
    Member findOrAdd(Peer peer, LeaseRequestMessage request) {
        Member known = byPeer.get(peer);
        if (known != null) {
            return known;
        }
        boolean agent = request.announcement().length > 0;
        String process = peer.greeting().processId();
        String key = process + '/' + peer.greeting().incarnation() + (agent ? "/agent" : "/entry");
        Member member = members.computeIfAbsent(key, k -> new Member(k, process, agent));
        byPeer.values().remove(member);
        byPeer.put(peer, member);
        member.connected(peer, request.textVersion(), request.membershipRevision());
        return member;
    }

    /**
     * Finds the connection to the agent of an upstream.
     *
     * @param upstreamId the upstream
     * @return the connection of the newest known incarnation
     */
    Optional<Peer> agentOf(String upstreamId) {
        return members.values().stream()
                .filter(m -> m.announcement() != null
                        && m.announcement().upstreamId().equals(upstreamId))
                .max(Comparator.comparingLong(m -> m.announcement().incarnation()))
                .map(Member::peer);
    }

    Optional<Member> leave(Peer peer) {
        Member member = byPeer.remove(peer);
        if (member != null) {
            members.values().remove(member);
        }
        return Optional.ofNullable(member);
    }

    List<Member> removeGone(long now) {
        List<Member> expired =
                members.values().stream().filter(m -> m.isGone(now)).toList();
        expired.forEach(m -> leave(m.peer()));
        return expired;
    }

    /**
     * Finds members that may still serve under an older version.
     *
     * @param version the version that should be in force
     * @param now     time in nanoseconds
     * @return members whose lease is running and that have not reported the version
     */
    List<Member> servingBelow(long version, long now) {
        return members.values().stream()
                .filter(m -> m.configVersion() < version && m.hasLease(now))
                .toList();
    }

    Set<String> leasedUpstreams(long now) {
        return members.values().stream()
                .filter(m -> m.hasLease(now))
                .map(Member::upstreamId)
                .collect(Collectors.toSet());
    }

    Collection<Member> all() {
        return members.values();
    }

    void clear() {
        members.clear();
        byPeer.clear();
    }
}
