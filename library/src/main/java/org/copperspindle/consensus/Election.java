package org.copperspindle.consensus;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Pre-votes, votes and when to stand.
 *
 * <p>A member that has just started doesn't know what it promised a leader, and gives no vote for an election timeout. After a loss
 * of power of all that would be in vain: no leader is left to whom anything was promised. A candidate to whom all voters say
 * that they have heard no leader since they started therefore stands at once. A leader that still held a lease would be one of the
 * voters, or have been heard by one whose vote the candidate needs.
 */
final class Election {

    private static final Logger LOGGER = LogManager.getLogger(Election.class);

    /** Part of an election timeout after which a member that has just started asks the others, drawn up to twice that. */
    private static final double FIRST_QUESTION = 0.1;

    /** The same for each further question: the votes of one that stands meanwhile have arrived by then. */
    private static final double NEXT_QUESTION = 0.3;

    private final RaftState state;
    private final SplittableRandom random;
    private final Set<Long> granted = new HashSet<>();
    private final Set<Long> fresh = new HashSet<>();
    private long deadline;
    private long freshDeadline;
    private long selfVote;

    Election(RaftState state, SplittableRandom random, long now) {
        this.state = state;
        this.random = random;
        postpone(now);
        freshDeadline = now + freshPause(FIRST_QUESTION);
    }

    /** Called when a leader was heard. */
    void postpone(long now) {
        long election = state.settings().timing().electionNanos();
        deadline = now + election + random.nextLong(election);
    }

    /**
     * Stands for election if it is time.
     *
     * @return true if the member has been elected
     */
    boolean tick(long now) {
        boolean due = now - deadline >= 0 || isIdleSoleVoter();
        boolean asksFresh = state.isFresh() && now - freshDeadline >= 0;
        if (state.role() == RaftRole.LEADER || !due && !asksFresh) {
            return false;
        }
        if (due) {
            postpone(now);
        }
        freshDeadline = now + freshPause(NEXT_QUESTION);
        if (!state.membership().hasVoter(state.identity())) {
            return false;
        }
        granted.clear();
        granted.add(state.identity());
        fresh.clear();
        // A member that was cut off must not raise its term alone: back again, it would depose a leader that works.
        state.become(RaftRole.PRE_CANDIDATE, 0);
        if (hasQuorum()) {
            return stand(false);
        }
        askVoters(true, state.term() + 1, false);
        return false;
    }

    /** Returns true if a vote that was waiting for the disk makes the member the leader. */
    boolean persisted(long now) {
        return elected() || isIdleSoleVoter() && tick(now);
    }

    /** Answers a request; {@code now} is the voter's clock. */
    void receive(VoteRequestMessage request, long now) {
        boolean bound = now - state.heardLeaderAt() < state.settings().timing().electionNanos();
        boolean released = state.isFresh() && request.allFresh();
        boolean hears = state.role() == RaftRole.LEADER || bound && !released;
        // Both kinds are refused while a leader is heard. The leader's lease rests on that: it counts on its followers
        // electing nobody else until their election timeout after its last heartbeat.
        if (hears || request.envelope().term() < state.term()) {
            reply(request, false);
            return;
        }
        if (request.preVote()) {
            reply(request, request.envelope().term() > state.term() && upToDate(request));
            return;
        }
        if (request.envelope().term() > state.term()) {
            state.adoptTerm(request.envelope().term());
        }
        long candidate = request.envelope().from();
        boolean free = state.hard().votedFor() == 0 || state.hard().votedFor() == candidate;
        boolean vote = free && upToDate(request);
        if (vote && state.hard().votedFor() == 0) {
            state.saveHard(state.hard().withVote(state.term(), candidate));
            postpone(now);
        }
        reply(request, vote);
    }

    /**
     * Counts an answer.
     *
     * @return true if the member has been elected
     */
    boolean receive(VoteReplyMessage reply, long now) {
        boolean current = reply.preVote()
                ? state.role() == RaftRole.PRE_CANDIDATE && reply.forTerm() == state.term() + 1
                : state.role() == RaftRole.CANDIDATE && reply.forTerm() == state.term();
        if (!current) {
            return false;
        }
        if (reply.granted()) {
            granted.add(reply.envelope().from());
        }
        if (reply.fresh()) {
            fresh.add(reply.envelope().from());
        }
        if (!reply.preVote()) {
            return elected();
        }
        if (hasQuorum()) {
            return stand(false);
        }
        return areAllFresh() && stand(true);
    }

    private boolean areAllFresh() {
        return state.isFresh()
                && state.membership().voters().stream()
                        .map(Member::identity)
                        .allMatch(voter -> voter == state.identity() || fresh.contains(voter));
    }

    private boolean stand(boolean allFresh) {
        long term = state.term() + 1;
        granted.clear();
        // Own vote on the disk first: a crash must not let this member vote for another in the same term.
        selfVote = state.saveHard(state.hard().withVote(term, state.identity()));
        state.become(RaftRole.CANDIDATE, 0);
        LOGGER.info(
                "event=election-started member={} term={} all_fresh={}",
                state.settings().name(),
                term,
                allFresh);
        askVoters(false, term, allFresh);
        return elected();
    }

    private boolean elected() {
        if (state.role() != RaftRole.CANDIDATE || !state.isDurable(selfVote)) {
            return false;
        }
        granted.add(state.identity());
        return hasQuorum();
    }

    /** With nobody else to promise anything to, there is nothing to wait for. */
    boolean isIdleSoleVoter() {
        return state.role() == RaftRole.FOLLOWER
                && state.membership().voters().size() == 1
                && state.membership().hasVoter(state.identity());
    }

    private boolean hasQuorum() {
        return state.membership().isQuorum(granted::contains);
    }

    private long freshPause(double part) {
        long least = (long) (part * state.settings().timing().electionNanos());
        return least + random.nextLong(least);
    }

    private void askVoters(boolean preVote, long term, boolean allFresh) {
        for (Member voter : state.membership().voters()) {
            if (voter.identity() == state.identity()) {
                continue;
            }
            RaftMessage.Envelope own = state.envelope(voter.identity());
            RaftMessage.Envelope asked =
                    new RaftMessage.Envelope(own.group(), own.from(), own.to(), term, own.address());
            VoteRequestMessage request = new VoteRequestMessage(
                    asked, preVote, state.log().lastIndex(), state.log().lastTerm(), allFresh);
            if (preVote) {
                state.send(voter, request);
            } else {
                state.sendAfter(selfVote, voter.address(), request);
            }
        }
    }

    private boolean upToDate(VoteRequestMessage request) {
        long ownTerm = state.log().lastTerm();
        return request.lastTerm() > ownTerm
                || request.lastTerm() == ownTerm
                        && request.lastIndex() >= state.log().lastIndex();
    }

    private void reply(VoteRequestMessage request, boolean vote) {
        VoteReplyMessage reply = new VoteReplyMessage(
                state.answer(request.envelope()),
                request.preVote(),
                request.envelope().term(),
                vote,
                state.isFresh() && request.envelope().term() > state.term() && upToDate(request));
        // A vote is given once it is on the disk: a voter that forgot it in a crash could vote twice in one term.
        state.sendAfter(state.hardSequence(), request.envelope().address(), reply);
    }
}
