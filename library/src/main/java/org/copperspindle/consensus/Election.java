package org.copperspindle.consensus;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Pre-votes, votes and when to stand.
 */
final class Election {

    private static final Logger LOGGER = LogManager.getLogger(Election.class);

    private final RaftState state;
    private final SplittableRandom random;
    private final Set<Long> granted = new HashSet<>();
    private long deadline;
    private long selfVote;

    Election(RaftState state, SplittableRandom random, long now) {
        this.state = state;
        this.random = random;
        postpone(now);
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
        if (state.role() == RaftRole.LEADER || now - deadline < 0 && !isIdleSoleVoter()) {
            return false;
        }
        postpone(now);
        if (!state.membership().hasVoter(state.identity())) {
            return false;
        }
        granted.clear();
        granted.add(state.identity());
        // A member that was cut off must not raise its term alone: back again, it would depose a leader that works.
        state.become(RaftRole.PRE_CANDIDATE, 0);
        if (hasQuorum()) {
            return stand();
        }
        askVoters(true, state.term() + 1);
        return false;
    }

    /** Returns true if a vote that was waiting for the disk makes the member the leader. */
    boolean persisted(long now) {
        return elected() || isIdleSoleVoter() && tick(now);
    }

    /** Answers a request; {@code now} is the voter's clock. */
    void receive(VoteRequestMessage request, long now) {
        boolean hears = state.role() == RaftRole.LEADER
                || now - state.heardLeaderAt() < state.settings().timing().electionNanos();
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
        if (!current || !reply.granted()) {
            return false;
        }
        granted.add(reply.envelope().from());
        if (!reply.preVote()) {
            return elected();
        }
        return hasQuorum() && stand();
    }

    private boolean stand() {
        long term = state.term() + 1;
        granted.clear();
        // Own vote on the disk first: a crash must not let this member vote for another in the same term.
        selfVote = state.saveHard(state.hard().withVote(term, state.identity()));
        state.become(RaftRole.CANDIDATE, 0);
        LOGGER.info("event=election-started member={} term={}", state.settings().name(), term);
        askVoters(false, term);
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

    private void askVoters(boolean preVote, long term) {
        for (Member voter : state.membership().voters()) {
            if (voter.identity() == state.identity()) {
                continue;
            }
            RaftMessage.Envelope own = state.envelope(voter.identity());
            RaftMessage.Envelope asked =
                    new RaftMessage.Envelope(own.group(), own.from(), own.to(), term, own.address());
            VoteRequestMessage request = new VoteRequestMessage(
                    asked, preVote, state.log().lastIndex(), state.log().lastTerm());
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
                vote);
        // A vote is given once it is on the disk: a voter that forgot it in a crash could vote twice in one term.
        state.sendAfter(state.hardSequence(), request.envelope().address(), reply);
    }
}
