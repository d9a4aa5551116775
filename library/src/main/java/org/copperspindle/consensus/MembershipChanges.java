package org.copperspindle.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Membership changes at the leader: admits learners, replaces a voter that lost its disk, and promotes learners. Each
 * change is committed before the next one starts, so that the quorums of two consecutive memberships always share a
 * member.
 */
final class MembershipChanges {

    private static final Logger LOGGER = LogManager.getLogger(MembershipChanges.class);
    private static final int MAX_MEMBERS = 12;

    /**
     * Election timeouts without a reply after which a member is considered gone. A node that was replaced counts as lost
     * for four of them after the start of its successor, and its removal may have to wait for an election.
     */
    private static final int SILENT_ELECTION_TIMEOUTS = 2;

    private final RaftState state;
    private final Replication replication;
    private final JoinRequests joinRequests;
    private final Map<Long, Long> admittedAt = new HashMap<>();

    MembershipChanges(RaftState state, Replication replication, JoinRequests joinRequests) {
        this.state = state;
        this.replication = replication;
        this.joinRequests = joinRequests;
    }

    /** Starts a term of leadership: the progress of learners from an earlier term is not counted. */
    void start() {
        admittedAt.clear();
    }

    /** Starts the next change, if there is one. */
    void tick(long now) {
        if (isChangePending()) {
            return;
        }
        Optional<Membership> next = joinRequests.next(now).flatMap(this::admit);
        if (next.isEmpty()) {
            next = repair(now);
        }
        if (next.isEmpty() && state.settings().voterSource().isDynamic()) {
            next = removeSilent(now);
        }
        next.ifPresent(membership -> propose(membership, now));
    }

    /**
     * Removes a member permanently.
     *
     * @return false if it is unknown, is the leader itself, is needed for the quorum, or another change is in progress
     */
    boolean remove(String name, long now) {
        Optional<Member> member = state.membership().members().stream()
                .filter(m -> m.name().equals(name) && m.identity() != state.identity())
                .findFirst();
        if (member.isEmpty() || isChangePending() || !keepsQuorum(member.get(), now)) {
            return false;
        }
        propose(state.membership().without(member.get().identity()), now);
        return true;
    }

    private boolean isChangePending() {
        // A new leader changes nothing before an entry of its own term is committed. Otherwise two leaders in turn
        // could each change the same membership, and the quorums of memberships that are two changes apart need not
        // share a member.
        return !replication.termCommitted() || state.log().membershipIndex() > state.commit();
    }

    private Optional<Membership> admit(Member joiner) {
        if (state.membership().members().size() >= MAX_MEMBERS) {
            return Optional.empty();
        }
        Optional<Member> predecessor = state.membership().members().stream()
                .filter(m -> !m.voter() && m.name().equals(joiner.name()))
                .findFirst();
        if (predecessor.isPresent()) {
            return Optional.of(state.membership().without(predecessor.get().identity()));
        }
        LOGGER.info("event=learner-admitted member={} identity={}", joiner.name(), Long.toHexString(joiner.identity()));
        // One that was a member before is judged by what it does from now on.
        replication.forget(joiner);
        admittedAt.remove(joiner.identity());
        return Optional.of(state.membership().with(joiner.withVoter(false)));
    }

    private Optional<Membership> repair(long now) {
        for (Member learner : state.membership().members()) {
            if (learner.voter() || !holdsAllCommittedAtAdmission(learner)) {
                continue;
            }
            Optional<Member> predecessor = state.membership().voters().stream()
                    .filter(m -> m.name().equals(learner.name()))
                    .findFirst();
            if (predecessor.isPresent() && mayBeReplaced(predecessor.get(), now)) {
                LOGGER.info("event=voter-replaced member={}", predecessor.get().name());
                return Optional.of(state.membership().without(predecessor.get().identity()));
            }
            if (predecessor.isEmpty() && state.settings().mayBecomeVoter(learner.name())) {
                LOGGER.info("event=voter-promoted member={}", learner.name());
                return Optional.of(state.membership().with(learner.withVoter(true)));
            }
        }
        return Optional.empty();
    }

    /**
     * Removes a member that no longer replies: a voter, so that the next loss hits a complete group again, or a learner,
     * whose place others need. One that was only partitioned or stopped asks to join when it is back.
     */
    private Optional<Membership> removeSilent(long now) {
        long maxSilenceNanos =
                SILENT_ELECTION_TIMEOUTS * state.settings().timing().electionNanos();
        boolean mayLoseVoter = state.membership().voters().size()
                > state.settings().voterSource().minVoters();
        return state.membership().members().stream()
                .filter(m -> replication.isSilent(m, now, maxSilenceNanos))
                .filter(m -> !m.voter() || mayLoseVoter && keepsQuorum(m, now))
                .findFirst()
                .map(gone -> {
                    LOGGER.info(
                            "event={} member={} reason=silent",
                            gone.voter() ? "voter-removed" : "learner-removed",
                            gone.name());
                    return state.membership().without(gone.identity());
                });
    }

    /**
     * Returns whether a learner has caught up. One that voted earlier could help to elect a leader that lacks entries
     * which only the lost disk still held.
     */
    private boolean holdsAllCommittedAtAdmission(Member learner) {
        long needed = admittedAt.computeIfAbsent(learner.identity(), id -> state.commit());
        return replication.match(learner) >= needed;
    }

    /**
     * Returns whether a voter may give way to a learner of its name. The learner has replied, so the disk of the voter is
     * lost, and no reply that is still under way can be newer than the time of a resend. Until the voter is replaced, the loss of
     * another disk would leave no quorum.
     */
    private boolean mayBeReplaced(Member predecessor, long now) {
        return predecessor.identity() != state.identity()
                && !replication.hasHeardFrom(
                        predecessor, now, state.settings().timing().resendNanos())
                && keepsQuorum(predecessor, now);
    }

    private boolean keepsQuorum(Member removed, long now) {
        Membership left = state.membership().without(removed.identity());
        long within = state.settings().timing().electionNanos();
        return !left.voters().isEmpty()
                && left.isQuorum(id -> replication.hasHeardFrom(left.find(id).orElseThrow(), now, within));
    }

    private void propose(Membership next, long now) {
        long index = replication.append(EntryKind.MEMBERSHIP, next.encode(), now);
        LOGGER.info(
                "event=membership-proposed member={} index={} members={}",
                state.settings().name(),
                index,
                next);
    }
}
