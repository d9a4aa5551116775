package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.copperspindle.wire.WireMessage;

/**
 * One member of a group as a pure state machine: messages, time and finished disk work come in, {@link RaftAction}s come
 * out of {@link #drain}. It reads no clock, opens no file and starts no thread; all times are readings of the member's
 * own monotonic clock in nanoseconds. Single-threaded.
 */
final class RaftNode {

    /** A member that heard no leader for so many election timeouts asks whether it was removed. */
    private static final int LOST_ELECTIONS = 3;

    private final RaftState state;
    private final Election election;
    private final FollowerAppends appends;
    private final SnapshotReceiver snapshotReceiver;
    private final Replication replication;
    private final MembershipChanges changes;
    private final GroupFounder founder;
    private final Deque<Proposal> proposals = new ArrayDeque<>();
    private long proposedBytes;
    private Optional<LogSnapshot> saving = Optional.empty();
    private long savingSequence;
    private boolean snapshotAsked;
    private long askedToJoinAt;

    RaftNode(RaftSettings settings, RecoveredState recovered, SplittableRandom random, long now) {
        this.state = new RaftState(settings, recovered, now);
        this.election = new Election(state, random, now);
        this.appends = new FollowerAppends(state);
        this.snapshotReceiver = new SnapshotReceiver(state);
        this.replication = new Replication(state);
        this.changes = new MembershipChanges(state, replication);
        this.founder = new GroupFounder(state);
    }

    /** Takes the actions decided since the last call. */
    List<RaftAction> drain() {
        if (state.appliedBytes() >= state.settings().limits().logBytes() && !snapshotAsked) {
            snapshotAsked = true;
            state.snapshotRequested();
            state.act(new RaftAction.TakeSnapshot(
                    state.applied(),
                    state.log().termAt(state.applied()),
                    state.log().membershipAt(state.applied())));
        }
        return state.drain();
    }

    /** To be called about twice per heartbeat. */
    void tick(long now) {
        if (state.hard().group() == 0) {
            founder.tick(now);
            return;
        }
        if (election.tick(now)) {
            lead(now);
        }
        askToJoinAgain(now);
        if (state.role() == RaftRole.LEADER) {
            replication.tick(now);
        }
        if (state.role() == RaftRole.LEADER) {
            changes.tick(now);
        }
    }

    /** Takes a message of another member. */
    void receive(WireMessage message, long now) {
        if (message instanceof RaftMessage raft) {
            receiveInGroup(raft, now);
        } else if (message instanceof JoinRequestMessage join) {
            receiveJoin(join, now);
        } else if (message instanceof FoundGroupMessage found
                && state.hard().group() == 0
                && found.groupName().equals(state.settings().groupName())) {
            founder.receive(found);
        }
    }

    /**
     * Proposes a command.
     *
     * @return index of its entry; empty if it was not taken and never will be
     */
    OptionalLong propose(byte[] command, long now) {
        while (!proposals.isEmpty() && proposals.peekFirst().index() <= state.commit()) {
            proposedBytes -= proposals.pollFirst().bytes();
        }
        RaftLimits limits = state.settings().limits();
        boolean fits =
                command.length <= limits.commandBytes() && proposedBytes + command.length <= limits.pendingBytes();
        if (state.role() != RaftRole.LEADER || !fits) {
            return OptionalLong.empty();
        }
        long index = replication.append(EntryKind.COMMAND, command, now);
        proposals.addLast(new Proposal(index, command.length));
        proposedBytes += command.length;
        return OptionalLong.of(index);
    }

    /** Called when a request to the disk and all before it are synced. */
    void persisted(long sequence, long now) {
        state.persisted(sequence);
        if (saving.isPresent() && sequence >= savingSequence) {
            compact(saving.get());
        }
        if (election.persisted(now)) {
            lead(now);
        }
        if (state.role() == RaftRole.LEADER) {
            replication.persisted(now);
        } else {
            state.applyCommitted();
        }
    }

    /** Takes the snapshot that a {@link RaftAction.TakeSnapshot} asked for. */
    void snapshotTaken(LogSnapshot snapshot) {
        savingSequence = state.persist(new PersistRequest.SaveSnapshot(snapshot, false));
        saving = Optional.of(snapshot);
    }

    /** Removes a member; see {@link MembershipChanges#remove}. */
    boolean remove(String name, long now) {
        return state.role() == RaftRole.LEADER && changes.remove(name, now);
    }

    boolean leads(long now) {
        return replication.leads(now);
    }

    long term() {
        return state.term();
    }

    RaftRole role() {
        return state.role();
    }

    Optional<Member> leader() {
        return state.membership().find(state.leader());
    }

    Membership membership() {
        return state.membership();
    }

    long commit() {
        return state.commit();
    }

    long applied() {
        return state.applied();
    }

    long identity() {
        return state.identity();
    }

    RaftLog log() {
        return state.log();
    }

    private void lead(long now) {
        proposals.clear();
        proposedBytes = 0;
        changes.start();
        replication.start(now);
    }

    private void compact(LogSnapshot saved) {
        saving = Optional.empty();
        snapshotAsked = false;
        boolean older =
                state.log().snapshot().filter(s -> s.index() >= saved.index()).isPresent();
        if (!older) {
            state.log().compact(saved, state.settings().limits().keptEntries());
        }
    }

    private void receiveInGroup(RaftMessage message, long now) {
        RaftMessage.Envelope envelope = message.envelope();
        boolean toJoiner = state.hard().group() == 0
                && (message instanceof AppendRequestMessage || message instanceof SnapshotChunkMessage);
        if (envelope.to() != state.identity()
                || !toJoiner && envelope.group() != state.hard().group()) {
            // For an earlier folder at this address, or from another group: what is said there is none of ours.
            return;
        }
        if (message instanceof VoteRequestMessage request) {
            election.receive(request, now);
        } else if (message instanceof AppendRequestMessage || message instanceof SnapshotChunkMessage) {
            receiveFromLeader(message, now);
        } else {
            receiveReply(message, now);
        }
    }

    private void receiveFromLeader(RaftMessage message, long now) {
        RaftMessage.Envelope envelope = message.envelope();
        if (envelope.term() < state.term()) {
            // The answer's term tells the sender that it leads no more.
            AppendReplyMessage stale = new AppendReplyMessage(state.answer(envelope), false, 0, 0);
            state.sendAfter(state.hardSequence(), envelope.address(), stale);
            return;
        }
        if (envelope.term() > state.term()) {
            state.adoptTerm(envelope.term());
        }
        if (state.role() == RaftRole.LEADER) {
            throw new IllegalStateException("two leaders in term " + state.term());
        }
        state.heardLeader(envelope.from(), now);
        election.postpone(now);
        if (message instanceof AppendRequestMessage append) {
            appends.receive(append);
        } else if (message instanceof SnapshotChunkMessage chunk) {
            snapshotReceiver.receive(chunk);
        }
    }

    private void receiveReply(RaftMessage message, long now) {
        if (message.envelope().term() > state.term()) {
            state.adoptTerm(message.envelope().term());
            return;
        }
        if (message instanceof VoteReplyMessage vote) {
            if (election.receive(vote, now)) {
                lead(now);
            }
            return;
        }
        if (state.role() != RaftRole.LEADER || message.envelope().term() < state.term()) {
            return;
        }
        if (message instanceof AppendReplyMessage append) {
            replication.receive(append, now);
        } else if (message instanceof SnapshotReplyMessage snapshot) {
            replication.receive(snapshot, now);
        }
    }

    /**
     * A member that was silent for long may have been removed while it could not hear of it: nobody sends it anything any
     * more, and its pre-votes are refused. With its identity it keeps its log and its votes, so that it may come back
     * under it.
     */
    private void askToJoinAgain(long now) {
        RaftTiming timing = state.settings().timing();
        boolean lost = state.settings().roster().isDynamic()
                && state.role() != RaftRole.LEADER
                && now - state.heardLeaderAt() > LOST_ELECTIONS * timing.electionNanos();
        if (!lost || now - askedToJoinAt < timing.electionNanos()) {
            return;
        }
        askedToJoinAt = now;
        JoinRequestMessage request = new JoinRequestMessage(
                state.settings().groupName(),
                "",
                0,
                state.settings().self(state.identity()).encode());
        state.settings().others().forEach(other -> state.send(other.address(), request));
    }

    private void receiveJoin(JoinRequestMessage join, long now) {
        Member from = Member.decode(join.member());
        if (!join.groupName().equals(state.settings().groupName()) || from.identity() == state.identity()) {
            return;
        }
        if (state.hard().group() == 0) {
            founder.receive(join, from, now);
            return;
        }
        Optional<LogSnapshot> founding = state.log()
                .snapshot()
                .filter(s -> s.index() == LogSnapshot.FOUNDING_INDEX
                        && s.membership().hasVoter(from.identity())
                        // One that was removed since has its group and asks to come back.
                        && state.membership().hasVoter(from.identity())
                        && state.isDurable(state.hardSequence()));
        if (founding.isPresent()) {
            byte[] voters = founding.get().membership().encode();
            state.send(
                    from, new FoundGroupMessage(join.groupName(), state.hard().group(), voters));
        } else if (state.role() == RaftRole.LEADER) {
            changes.receive(from, now);
        }
    }

    private record Proposal(long index, int bytes) {}
}
