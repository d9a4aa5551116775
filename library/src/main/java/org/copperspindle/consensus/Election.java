package org.copperspindle.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Pre-votes, votes, and the decision when to start an election.
 *
 * <p>A member that has just started doesn't know which leader lease it supported before, and gives no vote for an
 * election timeout. After a power loss of all members that wait would be useless, as there is no leader left whose
 * lease could be running. A candidate to which all voters reply that they have heard no leader since they started
 * therefore starts an election at once. A leader that still held a lease would be one of the voters, or would have been
 * heard by a voter whose vote the candidate needs. A voter whose disk is lost can't reply, and can't be that leader.
 */
final class Election {

    private static final Logger LOGGER = LogManager.getLogger(Election.class);

    /**
     * Fraction of an election timeout after which a member that has just started polls the others; the delay is drawn
     * between this and twice as much.
     */
    private static final double FIRST_POLL_FRACTION = 0.1;

    /** The same for each further poll. */
    private static final double NEXT_POLL_FRACTION = 0.3;

    /** The same after the own vote was saved, beside the time that the other voters need to save theirs. */
    private static final double VOTED_POLL_FRACTION = 0.2;

    /** Longest time, in election timeouts, that a save is expected to take; a disk that hung once may be fast again. */
    private static final int MAX_EXPECTED_SAVE = 2;

    /** Saves of one member until a vote for another one is on its disk: one that is under way, and that of the vote. */
    private static final int SAVES_OF_VOTER = 2;

    private final RaftState state;
    private final JoinRequests joinRequests;
    private final SplittableRandom random;
    private final Set<Long> granted = new HashSet<>();
    private final Set<Long> fresh = new HashSet<>();
    private final Set<Long> replied = new HashSet<>();
    private long deadline;
    private long freshPollDeadline;
    private long voteSequence;
    private long votedAt;
    private long saveNanos;
    private boolean isVotePending;
    private boolean hasYielded;

    Election(RaftState state, JoinRequests joinRequests, SplittableRandom random, long now) {
        this.state = state;
        this.joinRequests = joinRequests;
        this.random = random;
        postpone(now);
        freshPollDeadline = now + freshPollDelay(FIRST_POLL_FRACTION);
    }

    /** Called when a message of a leader was received, or this member was elected. */
    void onLeaderKnown(long now) {
        granted.clear();
        postpone(now);
    }

    private void postpone(long now) {
        long election = state.settings().timing().electionNanos();
        deadline = now + election + random.nextLong(election);
    }

    /**
     * Starts a pre-vote or an election if it is time.
     *
     * @return true if the member has been elected
     */
    boolean tick(long now) {
        boolean due = now - deadline >= 0 || isIdleSoleVoter();
        boolean pollsFresh = state.isFresh() && now - freshPollDeadline >= 0;
        if (state.role() == RaftRole.LEADER || isVotePending || !due && !pollsFresh) {
            return false;
        }
        logLastPoll();
        hasYielded = false;
        if (due) {
            postpone(now);
        }
        freshPollDeadline = now + freshPollDelay(NEXT_POLL_FRACTION);
        if (!state.membership().hasVoter(state.identity())) {
            return false;
        }
        granted.clear();
        granted.add(state.identity());
        replied.clear();
        fresh.clear();
        // A partitioned member must not raise its term alone: after the partition it would depose a working leader.
        state.become(RaftRole.PRE_CANDIDATE, 0);
        if (hasQuorum()) {
            return startElection(false, now);
        }
        requestVotes(true, state.term() + 1, false);
        return false;
    }

    /**
     * Called when requests to the disk are synced; returns true if this member becomes the leader, because its own vote
     * was waiting for the disk.
     */
    boolean persisted(long now) {
        if (isVotePending && state.isDurable(voteSequence)) {
            isVotePending = false;
            long maxSave = MAX_EXPECTED_SAVE * state.settings().timing().electionNanos();
            saveNanos = Math.min(now - votedAt, maxSave);
            long othersSaved = now + SAVES_OF_VOTER * saveNanos;
            postpone(othersSaved);
            freshPollDeadline = othersSaved + freshPollDelay(VOTED_POLL_FRACTION);
        }
        return hasWon() || isIdleSoleVoter() && tick(now);
    }

    /** Replies to a vote request; {@code now} is the voter's clock. */
    void receive(VoteRequestMessage request, long now) {
        boolean leaderRecent =
                now - state.leaderSeenAt() < state.settings().timing().electionNanos();
        boolean bothFresh = state.isFresh() && request.allFresh();
        boolean leaderKnown = state.role() == RaftRole.LEADER || leaderRecent && !bothFresh;
        // Votes and pre-votes are both refused while a leader is heard. The leader's lease relies on that: it assumes
        // that its followers elect no other leader until their election timeout after its last heartbeat.
        if (leaderKnown || request.envelope().term() < state.term()) {
            reply(request, false);
        } else {
            reply(request, request.preVote() ? supports(request) : vote(request, now));
        }
        boolean mayElect = !leaderKnown || state.isFresh();
        if (request.preVote() && mayElect && supports(request)) {
            letCandidateGoFirst(request.envelope().from(), now);
        }
    }

    /** Decides on a vote. A new term and the vote in it are saved together, as each save may take a slow disk long. */
    private boolean vote(VoteRequestMessage request, long now) {
        long term = request.envelope().term();
        long candidate = request.envelope().from();
        boolean isNewTerm = term > state.term();
        boolean free = isNewTerm || state.hard().votedFor() == 0;
        boolean vote = isUpToDate(request) && (free || state.hard().votedFor() == candidate);
        if (vote && free) {
            if (isNewTerm) {
                state.become(RaftRole.FOLLOWER, 0);
            }
            saveVote(candidate, term, now);
        } else if (isNewTerm) {
            state.adoptTerm(term);
        }
        return vote;
    }

    /**
     * Lets another candidate go first: while its vote is on the way to a slow disk, members that start as well would split
     * the votes. The next poll is put off once only between two polls, as a member that hears no replies polls for good.
     */
    private void letCandidateGoFirst(long candidate, long now) {
        if (state.role() == RaftRole.PRE_CANDIDATE && candidate > state.identity()) {
            state.become(RaftRole.FOLLOWER, 0);
        }
        if (!hasYielded && !isVotePending) {
            hasYielded = true;
            long voteRequested = now + saveNanos + freshPollDelay(NEXT_POLL_FRACTION);
            deadline = Math.max(deadline, voteRequested);
            freshPollDeadline = Math.max(freshPollDeadline, voteRequested);
        }
    }

    private boolean supports(VoteRequestMessage request) {
        return request.envelope().term() > state.term() && isUpToDate(request);
    }

    /**
     * Counts a vote reply.
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
        replied.add(reply.envelope().from());
        if (reply.granted()) {
            granted.add(reply.envelope().from());
        }
        if (reply.fresh()) {
            fresh.add(reply.envelope().from());
        }
        if (!reply.preVote()) {
            return hasWon();
        }
        if (hasQuorum()) {
            return startElection(false, now);
        }
        return areAllFresh() && startElection(true, now);
    }

    /** Logs what the last poll or election came to, from which the reason for a missing leader can be told. */
    private void logLastPoll() {
        if (!granted.isEmpty()) {
            LOGGER.info(
                    "event=no-leader-elected member={} term={} role={} voters={} granted={} fresh={} save_ms={} silent={}",
                    state.settings().name(),
                    state.term(),
                    state.role(),
                    state.membership().voters().size(),
                    granted.size(),
                    fresh.size(),
                    TimeUnit.NANOSECONDS.toMillis(saveNanos),
                    silentVoters());
        }
    }

    private List<String> silentVoters() {
        return state.membership().voters().stream()
                .filter(voter -> voter.identity() != state.identity() && !replied.contains(voter.identity()))
                .map(Member::label)
                .toList();
    }

    private boolean areAllFresh() {
        return state.isFresh() && state.membership().voters().stream().allMatch(this::supportsNoLease);
    }

    private boolean supportsNoLease(Member voter) {
        return voter.identity() == state.identity()
                || fresh.contains(voter.identity())
                || joinRequests.isSuperseded(voter);
    }

    private boolean startElection(boolean allFresh, long now) {
        long term = state.term() + 1;
        granted.clear();
        // The own vote must be on the disk first: after a crash this member must not vote for another one in the same
        // term.
        saveVote(state.identity(), term, now);
        state.become(RaftRole.CANDIDATE, 0);
        LOGGER.info(
                "event=election-started member={} term={} all_fresh={}",
                state.settings().name(),
                term,
                allFresh);
        requestVotes(false, term, allFresh);
        return hasWon();
    }

    /** Saves a vote. Until it is saved the member doesn't poll, which would end the election that the vote is for. */
    private void saveVote(long candidate, long term, long now) {
        voteSequence = state.saveHard(state.hard().withVote(term, candidate));
        votedAt = now;
        isVotePending = true;
        postpone(now);
    }

    private boolean hasWon() {
        if (state.role() != RaftRole.CANDIDATE || !state.isDurable(voteSequence)) {
            return false;
        }
        granted.add(state.identity());
        return hasQuorum();
    }

    /** A sole voter has supported no other leader, so it need not wait. */
    boolean isIdleSoleVoter() {
        return state.role() == RaftRole.FOLLOWER
                && state.membership().voters().size() == 1
                && state.membership().hasVoter(state.identity());
    }

    private boolean hasQuorum() {
        return state.membership().isQuorum(granted::contains);
    }

    private long freshPollDelay(double part) {
        long minDelay = (long) (part * state.settings().timing().electionNanos());
        return minDelay + random.nextLong(minDelay);
    }

    private void requestVotes(boolean preVote, long term, boolean allFresh) {
        for (Member voter : state.membership().voters()) {
            if (voter.identity() == state.identity()) {
                continue;
            }
            RaftMessage.Envelope own = state.envelope(voter.identity());
            RaftMessage.Envelope voteEnvelope =
                    new RaftMessage.Envelope(own.group(), own.from(), own.to(), term, own.address());
            VoteRequestMessage request = new VoteRequestMessage(
                    voteEnvelope, preVote, state.log().lastIndex(), state.log().lastTerm(), allFresh);
            if (preVote) {
                state.send(voter, request);
            } else {
                state.sendAfter(voteSequence, voter.address(), request);
            }
        }
    }

    private boolean isUpToDate(VoteRequestMessage request) {
        long ownTerm = state.log().lastTerm();
        return request.lastTerm() > ownTerm
                || request.lastTerm() == ownTerm
                        && request.lastIndex() >= state.log().lastIndex();
    }

    private void reply(VoteRequestMessage request, boolean vote) {
        VoteReplyMessage reply = new VoteReplyMessage(
                state.replyEnvelope(request.envelope()),
                request.preVote(),
                request.envelope().term(),
                vote,
                state.isFresh() && supports(request));
        // A vote is sent once it is on the disk: a voter that lost it in a crash could vote twice in one term.
        state.sendAfter(state.hardStateSequence(), request.envelope().address(), reply);
    }
}
