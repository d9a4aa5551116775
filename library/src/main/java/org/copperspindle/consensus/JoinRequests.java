package org.copperspindle.consensus;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Requests to join that this member has received lately, whether it leads or not: a member that is elected later need not
 * wait until they are sent again.
 */
final class JoinRequests {

    private static final int MAX_JOINERS = 8;

    /** Election timeouts after which a request to join is outdated. */
    private static final int JOIN_ELECTION_TIMEOUTS = 3;

    private final RaftState state;
    private final Map<Long, Request> requests = new LinkedHashMap<>();

    JoinRequests(RaftState state) {
        this.state = state;
    }

    /** Registers a member that asks to join. */
    void receive(Member joiner, long now) {
        removeOutdated(now);
        if (requests.size() < MAX_JOINERS || requests.containsKey(joiner.identity())) {
            requests.put(joiner.identity(), new Request(joiner, now));
        }
    }

    /** Returns the member that has waited longest and doesn't belong to the group yet. */
    Optional<Member> next(long now) {
        removeOutdated(now);
        // One that is removed again later has to ask again.
        requests.keySet().removeIf(identity -> state.membership().find(identity).isPresent());
        return requests.values().stream().map(Request::joiner).findFirst();
    }

    /**
     * Returns whether a member's disk is lost, as a member with another identity runs at its address. Identities at one
     * address follow each other, so the former one takes part no more: it neither replies nor leads.
     */
    boolean isSuperseded(Member member) {
        return requests.values().stream()
                .map(Request::joiner)
                .anyMatch(
                        joiner -> joiner.address().equals(member.address()) && joiner.identity() != member.identity());
    }

    private void removeOutdated(long now) {
        long maxAge = JOIN_ELECTION_TIMEOUTS * state.settings().timing().electionNanos();
        requests.values().removeIf(request -> now - request.at() > maxAge);
    }

    private record Request(Member joiner, long at) {}
}
