package org.copperspindle.consensus;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The leader's steps of membership: admits learners, replaces a voter that lost its disk, promotes. One step at a time,
 * each committed before the next, so that the quorums of two memberships that follow each other always share a member.
 */
final class MembershipChanges {

    private static final Logger LOGGER = LogManager.getLogger(MembershipChanges.class);
    private static final int MAX_JOINERS = 8;
    private static final int MAX_MEMBERS = 12;

    /** A voter silent for so many election timeouts may be replaced by its successor of the same name. */
    private static final int SILENT_ELECTIONS = 3;

    private final RaftState state;
    private final Replication replication;
    private final Map<Long, Joiner> joiners = new LinkedHashMap<>();
    private final Map<Long, Long> admittedAt = new HashMap<>();

    MembershipChanges(RaftState state, Replication replication) {
        this.state = state;
        this.replication = replication;
    }

    /** Begins a term of leadership: what an earlier one had counted for a learner is counted anew. */
    void start() {
        admittedAt.clear();
    }

    /** Hears of a member that holds nothing. */
    void receive(Member joiner, long now) {
        if (joiners.size() < MAX_JOINERS || joiners.containsKey(joiner.identity())) {
            joiners.put(joiner.identity(), new Joiner(joiner, now));
        }
    }

    /** Takes the next step, if there is one. */
    void tick(long now) {
        long recent = SILENT_ELECTIONS * state.settings().timing().electionNanos();
        joiners.values()
                .removeIf(j -> now - j.at() > recent
                        || state.membership().find(j.member().identity()).isPresent());
        if (underWay()) {
            return;
        }
        Optional<Membership> next = admit();
        if (next.isEmpty()) {
            next = repair(now);
        }
        if (next.isEmpty() && state.settings().roster().isDynamic()) {
            next = removeSilent(now);
        }
        next.ifPresent(membership -> propose(membership, now));
    }

    /**
     * Removes a member for good.
     *
     * @return false if it is unknown, is the leader itself, is needed for the quorum, or another step is under way
     */
    boolean remove(String name, long now) {
        Optional<Member> member = state.membership().members().stream()
                .filter(m -> m.name().equals(name) && m.identity() != state.identity())
                .findFirst();
        if (member.isEmpty() || underWay() || !survives(member.get(), now)) {
            return false;
        }
        propose(state.membership().without(member.get().identity()), now);
        return true;
    }

    private boolean underWay() {
        // A new leader changes nothing before an entry of its own term is committed: two leaders in turn could else
        // each take a step from the same membership, and two steps away quorums need not meet.
        return !replication.termCommitted() || state.log().membershipIndex() > state.commit();
    }

    private Optional<Membership> admit() {
        if (joiners.isEmpty() || state.membership().members().size() >= MAX_MEMBERS) {
            return Optional.empty();
        }
        Member joiner = joiners.values().iterator().next().member();
        Optional<Member> older = state.membership().members().stream()
                .filter(m -> !m.voter() && m.name().equals(joiner.name()))
                .findFirst();
        if (older.isPresent()) {
            return Optional.of(state.membership().without(older.get().identity()));
        }
        LOGGER.info("event=learner-admitted member={} identity={}", joiner.name(), Long.toHexString(joiner.identity()));
        return Optional.of(state.membership().with(joiner.withVoter(false)));
    }

    private Optional<Membership> repair(long now) {
        for (Member learner : state.membership().members()) {
            if (learner.voter() || !holdsAllCommittedAtAdmission(learner)) {
                continue;
            }
            Optional<Member> older = state.membership().voters().stream()
                    .filter(m -> m.name().equals(learner.name()))
                    .findFirst();
            if (older.isPresent() && maySucceed(older.get(), now)) {
                LOGGER.info("event=voter-replaced member={}", older.get().name());
                return Optional.of(state.membership().without(older.get().identity()));
            }
            if (older.isEmpty() && state.settings().admits(learner.name())) {
                LOGGER.info("event=voter-promoted member={}", learner.name());
                return Optional.of(state.membership().with(learner.withVoter(true)));
            }
        }
        return Optional.empty();
    }

    /**
     * Removes a voter that is gone, so that the next loss meets a whole group again. One that was only cut off or stopped
     * asks to join when it is back.
     */
    private Optional<Membership> removeSilent(long now) {
        long silent = SILENT_ELECTIONS * state.settings().timing().electionNanos();
        if (state.membership().voters().size() <= state.settings().roster().minVoters()) {
            return Optional.empty();
        }
        return state.membership().voters().stream()
                .filter(m -> m.identity() != state.identity() && !replication.hears(m, now, silent) && survives(m, now))
                .findFirst()
                .map(gone -> {
                    LOGGER.info("event=voter-removed member={} reason=silent", gone.name());
                    return state.membership().without(gone.identity());
                });
    }

    /** A learner that voted before could help to elect a leader that lacks what only the lost disk still held. */
    private boolean holdsAllCommittedAtAdmission(Member learner) {
        long needed = admittedAt.computeIfAbsent(learner.identity(), id -> state.commit());
        return replication.match(learner) >= needed;
    }

    private boolean maySucceed(Member older, long now) {
        long silent = SILENT_ELECTIONS * state.settings().timing().electionNanos();
        return older.identity() != state.identity() && !replication.hears(older, now, silent) && survives(older, now);
    }

    private boolean survives(Member removed, long now) {
        Membership left = state.membership().without(removed.identity());
        long within = state.settings().timing().electionNanos();
        return !left.voters().isEmpty()
                && left.isQuorum(id -> replication.hears(left.find(id).orElseThrow(), now, within));
    }

    private void propose(Membership next, long now) {
        long index = replication.append(EntryKind.MEMBERSHIP, next.encode(), now);
        LOGGER.info(
                "event=membership-proposed member={} index={} members={}",
                state.settings().name(),
                index,
                next);
    }

    private record Joiner(Member member, long at) {}
}
