package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.copperspindle.wire.WireMessage;

/**
 * One member of a group as a deterministic state machine without I/O: messages, time and completed disk requests come
 * in, {@link RaftAction}s come out of {@link #drain}. It reads no clock, opens no file and starts no thread; all times
 * are readings of the member's own monotonic clock in nanoseconds. Single-threaded.
 */
final class RaftNode {

    /** Election timeouts without a leader after which a member asks whether it was removed. */
    private static final int LOST_ELECTION_TIMEOUTS = 3;

    private final RaftState state;
    private final JoinRequests joinRequests;
    private final Election election;
    private final FollowerAppends appends;
    private final SnapshotReceiver snapshotReceiver;
    private final Replication replication;
    private final MembershipChanges changes;
    private final GroupRedundancy redundancy;
    private final GroupBootstrap bootstrap;
    private final Deque<Proposal> proposals = new ArrayDeque<>();
    private long proposedBytes;
    private Optional<LogSnapshot> pendingSnapshot = Optional.empty();
    private long pendingSnapshotSequence;
    private boolean snapshotPending;
    private long rejoinRequestedAt;

    RaftNode(RaftSettings settings, RecoveredState recovered, SplittableRandom random, long now) {
        this.state = new RaftState(settings, recovered, now);
        this.joinRequests = new JoinRequests(state);
        this.election = new Election(state, joinRequests, random, now);
        this.appends = new FollowerAppends(state);
        this.snapshotReceiver = new SnapshotReceiver(state);
        this.replication = new Replication(state);
        this.changes = new MembershipChanges(state, replication, joinRequests);
        this.redundancy = new GroupRedundancy(state, replication);
        this.bootstrap = new GroupBootstrap(state);
    }

    /** Returns the actions requested since the last call. */
    List<RaftAction> drain() {
        if (state.appliedBytes() >= state.settings().limits().logBytes() && !snapshotPending) {
            snapshotPending = true;
            state.snapshotRequested();
            state.addAction(new RaftAction.TakeSnapshot(
                    state.applied(),
                    state.log().termAt(state.applied()),
                    state.log().membershipAt(state.applied())));
        }
        return state.drain();
    }

    /** To be called about twice per heartbeat. */
    void tick(long now) {
        if (state.hard().group() == 0) {
            bootstrap.tick(now);
            return;
        }
        if (election.tick(now)) {
            becomeLeader(now);
        }
        requestRejoin(now);
        if (state.role() == RaftRole.LEADER) {
            replication.tick(now);
        }
        if (state.role() == RaftRole.LEADER) {
            changes.tick(now);
            redundancy.tick(now);
        }
    }

    /** Handles a message of another member. */
    void receive(WireMessage message, long now) {
        if (message instanceof RaftMessage raft) {
            receiveInGroup(raft, now);
        } else if (message instanceof JoinRequestMessage join) {
            receiveJoin(join, now);
        } else if (message instanceof BootstrapGroupMessage found
                && state.hard().group() == 0
                && found.groupName().equals(state.settings().groupName())) {
            bootstrap.receive(found);
        }
    }

    /**
     * Proposes a command.
     *
     * @return index of its entry; empty if it was not accepted and will never be committed
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

    /**
     * Asks for a {@link RaftAction.Confirmed}.
     *
     * @param number number of the question
     * @return false if this member is not the leader
     */
    boolean confirm(long number, long now) {
        if (state.role() != RaftRole.LEADER) {
            return false;
        }
        replication.confirm(number, now);
        return true;
    }

    /** Called when a message that a {@link RaftAction.Send} requested found no room on its connection. */
    void notSent(WireMessage message) {
        if (state.role() == RaftRole.LEADER
                && message instanceof RaftMessage raft
                && raft.envelope().term() == state.term()) {
            replication.notSent(raft);
        }
    }

    /** Called when a request to the disk and all earlier ones are synced. */
    void persisted(long sequence, long now) {
        state.persisted(sequence);
        if (pendingSnapshot.isPresent() && sequence >= pendingSnapshotSequence) {
            compact(pendingSnapshot.get());
        }
        if (election.persisted(now)) {
            becomeLeader(now);
        }
        if (state.role() == RaftRole.LEADER) {
            replication.persisted(now);
        } else {
            state.applyCommitted();
        }
    }

    /** Receives the snapshot that a {@link RaftAction.TakeSnapshot} requested. */
    void snapshotTaken(LogSnapshot snapshot) {
        pendingSnapshotSequence = state.persist(new PersistRequest.SaveSnapshot(snapshot, false));
        pendingSnapshot = Optional.of(snapshot);
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

    /** Returns how many more voters the group can lose; empty unless this member is the leader. */
    OptionalInt spareVoters() {
        return state.role() == RaftRole.LEADER ? redundancy.spareVoters() : OptionalInt.empty();
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

    private void becomeLeader(long now) {
        election.onLeaderKnown(now);
        proposals.clear();
        proposedBytes = 0;
        changes.start();
        redundancy.start(now);
        replication.start(now);
    }

    private void compact(LogSnapshot saved) {
        pendingSnapshot = Optional.empty();
        snapshotPending = false;
        boolean older =
                state.log().snapshot().filter(s -> s.index() >= saved.index()).isPresent();
        if (!older) {
            state.log().compact(saved, state.settings().limits().keptEntries());
        }
    }

    private void receiveInGroup(RaftMessage message, long now) {
        RaftMessage.Envelope envelope = message.envelope();
        boolean isForJoiner = state.hard().group() == 0
                && (message instanceof AppendRequestMessage || message instanceof SnapshotChunkMessage);
        if (envelope.to() != state.identity()
                || !isForJoiner && envelope.group() != state.hard().group()) {
            // The message is for an earlier data folder at this address, or from another group.
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
            // The term of the reply tells the sender that it is no longer the leader.
            AppendReplyMessage stale = new AppendReplyMessage(state.replyEnvelope(envelope), false, 0, 0);
            state.sendAfter(state.hardStateSequence(), envelope.address(), stale);
            return;
        }
        if (envelope.term() > state.term()) {
            state.adoptTerm(envelope.term());
        }
        if (state.role() == RaftRole.LEADER) {
            throw new IllegalStateException("two leaders in term " + state.term());
        }
        state.onLeaderMessage(envelope.from(), now);
        election.onLeaderKnown(now);
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
                becomeLeader(now);
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
     * Asks to join again. A member that was unreachable for long may have been removed without learning of it: no
     * member sends it anything any more, and its pre-votes are refused. It keeps its identity, and with it its log and
     * votes, so that it may come back under it.
     */
    private void requestRejoin(long now) {
        RaftTiming timing = state.settings().timing();
        boolean lostLeader = state.settings().voterSource().isDynamic()
                && state.role() != RaftRole.LEADER
                && now - state.leaderSeenAt() > LOST_ELECTION_TIMEOUTS * timing.electionNanos();
        if (!lostLeader || now - rejoinRequestedAt < timing.electionNanos()) {
            return;
        }
        rejoinRequestedAt = now;
        JoinRequestMessage request = new JoinRequestMessage(
                state.settings().groupName(),
                "",
                0,
                state.settings().self(state.identity()).encode(),
                false);
        state.settings().others().forEach(other -> state.send(other.address(), request));
    }

    private void receiveJoin(JoinRequestMessage join, long now) {
        Member from = Member.decode(join.member());
        if (!join.groupName().equals(state.settings().groupName()) || from.identity() == state.identity()) {
            return;
        }
        if (state.hard().group() == 0) {
            bootstrap.receive(join, from, now);
            return;
        }
        Optional<LogSnapshot> bootstrapSnapshot = state.log()
                .snapshot()
                .filter(s -> s.index() == LogSnapshot.BOOTSTRAP_INDEX
                        && s.membership().hasVoter(from.identity())
                        // A removed member belongs to the group already and asks to come back.
                        && state.membership().hasVoter(from.identity())
                        && state.isDurable(state.hardStateSequence()));
        if (bootstrapSnapshot.isPresent()) {
            byte[] voters = bootstrapSnapshot.get().membership().encode();
            state.send(
                    from,
                    new BootstrapGroupMessage(join.groupName(), state.hard().group(), voters));
        } else {
            joinRequests.receive(from, now);
        }
    }

    private record Proposal(long index, int bytes) {}
}
