package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.copperspindle.wire.WireMessage;

/**
 * State shared by the components of a {@link RaftNode}: term, role, log, and what waits for the disk.
 */
final class RaftState {

    private final RaftSettings settings;
    private final RaftLog log = new RaftLog();
    private final Deque<DeferredMessage> deferred = new ArrayDeque<>();
    private final Deque<PendingAppend> appends = new ArrayDeque<>();
    private List<RaftAction> actions = new ArrayList<>();
    private HardState hard;
    private RaftRole role = RaftRole.FOLLOWER;
    private long leader;
    private long lastLeader;
    private long leaderSeenAt;
    private boolean fresh = true;
    private long commit;
    private long applied;
    private long durable;
    private long requestedIndex;
    private long requested;
    private long completed;
    private long hardRequested;
    private long appliedBytes;

    RaftState(RaftSettings settings, RecoveredState recovered, long now) {
        this.settings = settings;
        this.hard = recovered.hardState();
        // A restarted member doesn't know which leader lease it supported before: it behaves as if it had just heard a
        // leader, and gives no vote while such a lease may still be running.
        this.leaderSeenAt = now;
        recovered.snapshot().ifPresent(s -> {
            log.reset(s);
            commit = s.index();
            applied = s.index();
        });
        recovered.entries().forEach(log::append);
        durable = log.lastIndex();
        requestedIndex = durable;
    }

    RaftSettings settings() {
        return settings;
    }

    RaftLog log() {
        return log;
    }

    HardState hard() {
        return hard;
    }

    long identity() {
        return hard.identity();
    }

    long term() {
        return hard.term();
    }

    Membership membership() {
        return log.membership();
    }

    RaftRole role() {
        return role;
    }

    long leader() {
        return leader;
    }

    /** Returns the identity of the last leader that this member has heard, 0 if none since it started or led. */
    long lastLeader() {
        return lastLeader;
    }

    void forgetLastLeader() {
        lastLeader = 0;
    }

    long leaderSeenAt() {
        return leaderSeenAt;
    }

    /** Returns whether the member has neither led nor heard a leader since its process started. */
    boolean isFresh() {
        return fresh;
    }

    long commit() {
        return commit;
    }

    long applied() {
        return applied;
    }

    /** Returns the last index that is synced to the disk. */
    long durable() {
        return durable;
    }

    boolean isDurable(long sequence) {
        return completed >= sequence;
    }

    /**
     * Returns the sequence of the newest request that stores the term, so that a reply in this term can wait for it.
     */
    long hardStateSequence() {
        return hardRequested;
    }

    void become(RaftRole next, long knownLeader) {
        if (role == RaftRole.LEADER && next != RaftRole.LEADER) {
            // Entries that are only in memory must be on the disk before anything is acknowledged as a follower: a
            // later leader may find them here and count them.
            persistTail();
            actions.add(new RaftAction.LeadershipLost());
        }
        role = next;
        leader = knownLeader;
        fresh = fresh && next != RaftRole.LEADER;
    }

    /** Records a valid message from the leader of this term. */
    void onLeaderMessage(long from, long now) {
        become(RaftRole.FOLLOWER, from);
        lastLeader = from;
        leaderSeenAt = now;
        fresh = false;
    }

    /** Adopts a newer term as a follower. */
    void adoptTerm(long term) {
        become(RaftRole.FOLLOWER, 0);
        saveHard(hard.withVote(term, 0));
    }

    long saveHard(HardState next) {
        hard = next;
        hardRequested = persist(new PersistRequest.SaveHardState(next));
        return hardRequested;
    }

    long persist(PersistRequest request) {
        requested++;
        actions.add(new RaftAction.Persist(requested, request));
        return requested;
    }

    /** Writes the entries that are only in memory to the disk and returns the newest request. */
    long persistTail() {
        if (requestedIndex >= log.lastIndex()) {
            return requested;
        }
        long sequence = persist(new PersistRequest.AppendEntries(log.from(requestedIndex + 1, Integer.MAX_VALUE)));
        requestedIndex = log.lastIndex();
        appends.addLast(new PendingAppend(sequence, requestedIndex));
        return sequence;
    }

    void truncateFrom(long index) {
        log.truncateFrom(index);
        durable = Math.min(durable, index - 1);
        requestedIndex = Math.min(requestedIndex, index - 1);
        List<PendingAppend> truncated = appends.stream()
                .map(a -> new PendingAppend(a.sequence(), Math.min(a.last(), index - 1)))
                .toList();
        appends.clear();
        appends.addAll(truncated);
    }

    /** Replaces log and state by the leader's snapshot; durable once the returned request is. */
    long install(LogSnapshot snapshot) {
        log.reset(snapshot);
        appends.clear();
        durable = 0;
        requestedIndex = snapshot.index();
        long sequence = persist(new PersistRequest.SaveSnapshot(snapshot, true));
        appends.addLast(new PendingAppend(sequence, snapshot.index()));
        commit = snapshot.index();
        applied = snapshot.index();
        actions.add(new RaftAction.Restore(snapshot));
        return sequence;
    }

    void persisted(long sequence) {
        completed = Math.max(completed, sequence);
        while (!appends.isEmpty() && appends.peekFirst().sequence() <= completed) {
            durable = Math.max(durable, appends.pollFirst().last());
        }
        while (!deferred.isEmpty() && deferred.peekFirst().sequence() <= completed) {
            sendDeferred(deferred.pollFirst());
        }
    }

    void commitTo(long index) {
        commit = Math.max(commit, index);
    }

    void applyCommitted() {
        // Never apply entries that are not on the own disk: a snapshot of this state must not include entries that a
        // crash could remove.
        long end = Math.min(commit, durable);
        while (applied < end) {
            applied++;
            LogEntry entry = log.entry(applied).orElseThrow();
            appliedBytes += entry.size();
            if (entry.kind() == EntryKind.COMMAND) {
                actions.add(new RaftAction.Apply(entry));
            }
        }
    }

    /** Returns the bytes of entries applied since the last call of {@link #snapshotRequested}. */
    long appliedBytes() {
        return appliedBytes;
    }

    void snapshotRequested() {
        appliedBytes = 0;
    }

    RaftMessage.Envelope envelope(long to) {
        return new RaftMessage.Envelope(hard.group(), identity(), to, hard.term(), settings.address());
    }

    /** Returns the envelope of a reply. A member that belongs to no group yet replies in the group of the request. */
    RaftMessage.Envelope replyEnvelope(RaftMessage.Envelope request) {
        return new RaftMessage.Envelope(request.group(), identity(), request.from(), hard.term(), settings.address());
    }

    void send(Member to, WireMessage message) {
        send(to.address(), message);
    }

    void send(String address, WireMessage message) {
        actions.add(new RaftAction.Send(address, message));
    }

    /** Sends a message once a request to the disk is synced. */
    void sendAfter(long sequence, String address, RaftMessage message) {
        if (isDurable(sequence)) {
            send(address, message);
            return;
        }
        deferred.addLast(new DeferredMessage(sequence, address, message));
    }

    void addAction(RaftAction action) {
        actions.add(action);
    }

    List<RaftAction> drain() {
        List<RaftAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    private void sendDeferred(DeferredMessage message) {
        // A message of an older term is dropped, which the protocol always allows.
        if (message.message().envelope().term() == hard.term()) {
            send(message.address(), message.message());
        }
    }

    private record DeferredMessage(long sequence, String address, RaftMessage message) {}

    private record PendingAppend(long sequence, long last) {}
}
