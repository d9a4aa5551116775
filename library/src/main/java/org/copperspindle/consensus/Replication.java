package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Replication at the leader: its own disk, the other members, commit, leader lease, and the check that a quorum
 * replies.
 */
final class Replication {

    private static final Logger LOGGER = LogManager.getLogger(Replication.class);

    private final RaftState state;
    private final SnapshotSender snapshots;
    private final Map<Long, Progress> progress = new HashMap<>();
    private final Deque<Confirmation> confirmations = new ArrayDeque<>();
    private long ownSequence;
    private long firstOfTerm;
    private long heartbeatAt;
    private long appliedBefore;
    private long appliedAt;

    Replication(RaftState state) {
        this.state = state;
        this.snapshots = new SnapshotSender(state);
    }

    /** Starts a term of leadership. */
    void start(long now) {
        progress.clear();
        confirmations.clear();
        snapshots.clear();
        state.become(RaftRole.LEADER, state.identity());
        state.membership().members().forEach(member -> progressOf(member, now));
        state.forgetLastLeader();
        ownSequence = 0;
        // Entries of older terms are committed only together with one of this term; without it another leader could
        // still replace them.
        firstOfTerm = append(EntryKind.NO_OP, new byte[0], now);
        heartbeat(now);
        LOGGER.info("event=leader-elected member={} term={}", state.settings().name(), state.term());
    }

    /** Appends an entry of this term and starts to replicate it. */
    long append(EntryKind kind, byte[] body, long now) {
        long index = state.log().lastIndex() + 1;
        state.log().append(new LogEntry(index, state.term(), kind, body));
        replicate(now);
        return index;
    }

    /**
     * Confirms that this member leads after now: a quorum that replies to a request sent from now on has elected no other
     * leader before.
     */
    void confirm(long number, long now) {
        confirmations.addLast(new Confirmation(number, now, Math.max(state.commit(), firstOfTerm)));
        heartbeat(now);
        completeConfirmations(now);
    }

    /** Sends what can be sent, to the own disk and to all other members. */
    void replicate(long now) {
        persistLocally();
        for (Member member : state.membership().members()) {
            if (member.identity() != state.identity()) {
                replicate(member, now);
            }
        }
    }

    /** Called when a request to the disk is synced. */
    void persisted(long now) {
        advanceCommit();
        completeConfirmations(now);
        replicate(now);
    }

    void tick(long now) {
        long resend = state.settings().timing().resendNanos();
        progress.values().forEach(p -> p.resendIfOverdue(now, resend));
        if (now - heartbeatAt >= state.settings().timing().heartbeatNanos()) {
            heartbeat(now);
        }
        replicate(now);
        logDelay(now);
        if (!hasHeardFromQuorum(now)) {
            LOGGER.warn(
                    "event=leader-stepped-down member={} term={} reason=no-quorum",
                    state.settings().name(),
                    state.term());
            state.become(RaftRole.FOLLOWER, 0);
        }
    }

    /** Called when a message was not sent; it is sent again at the next tick or reply. */
    void notSent(RaftMessage message) {
        long to = message.envelope().to();
        if (message instanceof SnapshotChunkMessage) {
            snapshots.notSent(to);
        } else if (message instanceof AppendRequestMessage append && append.isBulk()) {
            Optional.ofNullable(progress.get(to)).ifPresent(known -> known.notSent(append.prevIndex()));
        }
    }

    void receive(AppendReplyMessage reply, long now) {
        Optional<Member> from = state.membership().find(reply.envelope().from());
        if (from.isEmpty()) {
            return;
        }
        Progress to = progressOf(from.get(), now);
        to.replied(reply.sentAt(), now);
        if (reply.matched()) {
            to.matched(reply.index(), now);
            advanceCommit();
        } else {
            to.rejected(reply.index());
        }
        completeConfirmations(now);
        replicate(from.get(), now);
    }

    void receive(SnapshotReplyMessage reply, long now) {
        Optional<Member> from = state.membership().find(reply.envelope().from());
        if (from.isEmpty()) {
            return;
        }
        Progress to = progressOf(from.get(), now);
        to.replied(reply.sentAt(), now);
        if (snapshots.receive(from.get(), reply, now)) {
            to.matched(reply.snapshotIndex(), now);
            replicate(from.get(), now);
        }
    }

    /** Returns whether the leader lease is valid and the state has everything that earlier leaders committed. */
    boolean leads(long now) {
        if (state.role() != RaftRole.LEADER || state.applied() < firstOfTerm) {
            return false;
        }
        long ackedSince = state.membership().reachedByQuorum(m -> ackedRequestSentAt(m, now));
        return now - ackedSince < state.settings().timing().leaseNanos();
    }

    /** Returns whether an entry of this term is committed, which changes of membership require. */
    boolean termCommitted() {
        return state.commit() >= firstOfTerm;
    }

    long match(Member member) {
        if (member.identity() == state.identity()) {
            return state.durable();
        }
        Progress known = progress.get(member.identity());
        return known == null ? 0 : known.match();
    }

    /** Forgets what a member has replied, because it joins or leaves. */
    void forget(Member member) {
        progress.remove(member.identity());
    }

    /** Describes what is known of a member that replicates this leader's log, for log lines. */
    String describe(Member member, long now) {
        Progress to = progressOf(member, now);
        return String.format(
                "match=%d next=%d in_flight=%d heard_ms=%d",
                to.match(), to.next(), to.inFlight(), TimeUnit.NANOSECONDS.toMillis(now - to.heardAt()));
    }

    /** Returns whether a member has replied recently. */
    boolean hasHeardFrom(Member member, long now, long withinNanos) {
        return member.identity() == state.identity()
                || now - progressOf(member, now).lastReplyAt() < withinNanos;
    }

    /** Returns whether a member has been silent for a while; silence of the former leader before this term counts. */
    boolean isSilent(Member member, long now, long forNanos) {
        return member.identity() != state.identity()
                && now - progressOf(member, now).heardAt() >= forNanos;
    }

    /** Logs what the entries of this leader wait for if none has been applied for half an election timeout. */
    private void logDelay(long now) {
        if (state.applied() != appliedBefore || state.applied() == state.log().lastIndex()) {
            appliedBefore = state.applied();
            appliedAt = now;
        }
        if (now - appliedAt < state.settings().timing().electionNanos() / 2) {
            return;
        }
        appliedAt = now;
        LOGGER.warn(
                "event=entries-wait member={} term={} last={} on_own_disk={} committed={} applied={} on_disks={}",
                state.settings().name(),
                state.term(),
                state.log().lastIndex(),
                state.durable(),
                state.commit(),
                state.applied(),
                state.membership().voters().stream()
                        .map(voter -> voter.name() + '=' + match(voter))
                        .toList());
    }

    private void completeConfirmations(long now) {
        long ackedSince = state.membership().reachedByQuorum(m -> ackedRequestSentAt(m, now));
        while (!confirmations.isEmpty() && confirmations.peekFirst().isCompleted(ackedSince, state.applied())) {
            state.addAction(new RaftAction.Confirmed(confirmations.pollFirst().number()));
        }
    }

    private boolean hasHeardFromQuorum(long now) {
        long within = state.settings().timing().electionNanos();
        return state.membership()
                .isQuorum(id -> hasHeardFrom(state.membership().find(id).orElseThrow(), now, within));
    }

    private long ackedRequestSentAt(Member member, long now) {
        return member.identity() == state.identity()
                ? now
                : progressOf(member, now).ackedRequestSentAt();
    }

    private void heartbeat(long now) {
        heartbeatAt = now;
        for (Member member : state.membership().members()) {
            if (member.identity() != state.identity()) {
                long match = progressOf(member, now).match();
                // Uses the prefix that the member is known to hold; if that was compacted here, the start of the log
                // matches too.
                long prev = state.log().termAt(match) < 0 ? 0 : match;
                send(member, prev, Math.max(0, state.log().termAt(prev)), List.of(), now);
            }
        }
    }

    private void persistLocally() {
        // One request at a time: commands proposed while the disk is busy are written together, with one sync.
        if (state.isDurable(ownSequence)) {
            ownSequence = state.persistTail();
        }
    }

    private void replicate(Member member, long now) {
        Progress to = progressOf(member, now);
        if (!hasHeardFrom(member, now, state.settings().timing().electionNanos())) {
            // Heartbeats find out when the member is back. Entries would take the room of another one at its address.
            return;
        }
        while (to.inFlight() < state.settings().limits().inFlight()
                && to.next() <= state.log().lastIndex()) {
            long prev = to.next() - 1;
            long prevTerm = state.log().termAt(prev);
            if (prevTerm < 0) {
                snapshots.send(member, now);
                return;
            }
            List<LogEntry> batch =
                    state.log().from(to.next(), state.settings().limits().batchBytes());
            send(member, prev, prevTerm, batch, now);
            to.sent(prev + batch.size(), now);
        }
    }

    private void send(Member to, long prev, long prevTerm, List<LogEntry> entries, long now) {
        state.send(
                to,
                new AppendRequestMessage(state.envelope(to.identity()), prev, prevTerm, state.commit(), now, entries));
    }

    private void advanceCommit() {
        long committable = state.membership().reachedByQuorum(this::match);
        if (committable > state.commit() && state.log().termAt(committable) == state.term()) {
            state.commitTo(committable);
        }
        state.applyCommitted();
    }

    private Progress progressOf(Member member, long now) {
        // Starts with the newest entry; a member that doesn't have it replies so.
        return progress.computeIfAbsent(member.identity(), id -> {
            long heardAt = id == state.lastLeader() ? state.leaderSeenAt() : now;
            return new Progress(state.log().lastIndex(), heardAt, now);
        });
    }

    /** A question whether this member leads, when it was asked, and the index that the state must have reached. */
    private record Confirmation(long number, long askedAt, long index) {
        private boolean isCompleted(long ackedSince, long applied) {
            return ackedSince - askedAt >= 0 && applied >= index;
        }
    }
}
