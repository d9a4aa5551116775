package org.copperspindle.consensus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The leader's side of replication: its own disk, the other members, commit, lease and the check of the quorum.
 */
final class Replication {

    private static final Logger LOGGER = LogManager.getLogger(Replication.class);

    private final RaftState state;
    private final SnapshotSender snapshots;
    private final Map<Long, Progress> progress = new HashMap<>();
    private long ownSequence;
    private long firstOfTerm;
    private long heartbeatAt;

    Replication(RaftState state) {
        this.state = state;
        this.snapshots = new SnapshotSender(state);
    }

    /** Begins a term of leadership. */
    void start(long now) {
        progress.clear();
        snapshots.clear();
        state.become(RaftRole.LEADER, state.identity());
        ownSequence = 0;
        // Entries of older terms count as committed only under one of this term; without it they could yet be undone.
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

    /** Sends what can be sent: to the own disk and to all others. */
    void replicate(long now) {
        persistOwn();
        for (Member member : state.membership().members()) {
            if (member.identity() != state.identity()) {
                replicate(member, now);
            }
        }
    }

    /** Called when a request to the disk is done. */
    void persisted(long now) {
        commitReached();
        replicate(now);
    }

    void tick(long now) {
        long resend = state.settings().timing().resendNanos();
        progress.values().forEach(p -> p.resendIfOverdue(now, resend));
        if (now - heartbeatAt >= state.settings().timing().heartbeatNanos()) {
            heartbeat(now);
        }
        replicate(now);
        if (!hearsQuorum(now)) {
            LOGGER.warn(
                    "event=leader-stepped-down member={} term={} reason=no-quorum",
                    state.settings().name(),
                    state.term());
            state.become(RaftRole.FOLLOWER, 0);
        }
    }

    void receive(AppendReplyMessage reply, long now) {
        Optional<Member> from = state.membership().find(reply.envelope().from());
        if (from.isEmpty()) {
            return;
        }
        Progress of = of(from.get(), now);
        of.answered(reply.sentAt(), now);
        if (reply.matched()) {
            of.matched(reply.index(), now);
            commitReached();
        } else {
            of.refused(reply.index());
        }
        replicate(from.get(), now);
    }

    void receive(SnapshotReplyMessage reply, long now) {
        Optional<Member> from = state.membership().find(reply.envelope().from());
        if (from.isEmpty()) {
            return;
        }
        Progress of = of(from.get(), now);
        of.answered(reply.sentAt(), now);
        if (snapshots.receive(from.get(), reply, now)) {
            of.matched(reply.snapshotIndex(), now);
            replicate(from.get(), now);
        }
    }

    /** Says whether the lease runs and the state holds everything that earlier leaders committed. */
    boolean leads(long now) {
        if (state.role() != RaftRole.LEADER || state.applied() < firstOfTerm) {
            return false;
        }
        long answered = state.membership().reachedByQuorum(m -> answeredSentAt(m, now));
        return now - answered < state.settings().timing().leaseNanos();
    }

    /** Returns how far the log may be changed by a step of membership: an entry of this term is committed. */
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

    /** Says whether a member has answered lately. */
    boolean hears(Member member, long now, long withinNanos) {
        return member.identity() == state.identity() || now - of(member, now).heardAt() < withinNanos;
    }

    private boolean hearsQuorum(long now) {
        long within = state.settings().timing().electionNanos();
        return state.membership()
                .isQuorum(id -> hears(state.membership().find(id).orElseThrow(), now, within));
    }

    private long answeredSentAt(Member member, long now) {
        return member.identity() == state.identity() ? now : of(member, now).answeredSentAt();
    }

    private void heartbeat(long now) {
        heartbeatAt = now;
        for (Member member : state.membership().members()) {
            if (member.identity() != state.identity()) {
                long match = of(member, now).match();
                // The prefix that the member is known to hold: if it was trimmed here, the start of the log matches
                // too.
                long prev = state.log().termAt(match) < 0 ? 0 : match;
                send(member, prev, Math.max(0, state.log().termAt(prev)), List.of(), now);
            }
        }
    }

    private void persistOwn() {
        // One request at a time: what is proposed while the disk is busy goes out together, under one sync.
        if (state.isDurable(ownSequence)) {
            ownSequence = state.persistTail();
        }
    }

    private void replicate(Member member, long now) {
        Progress to = of(member, now);
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

    private void commitReached() {
        long reached = state.membership().reachedByQuorum(this::match);
        if (reached > state.commit() && state.log().termAt(reached) == state.term()) {
            state.commitTo(reached);
        }
        state.applyCommitted();
    }

    private Progress of(Member member, long now) {
        // Begins with the newest entry, so that a member that lacks it says so.
        return progress.computeIfAbsent(
                member.identity(), id -> new Progress(state.log().lastIndex(), now));
    }
}
