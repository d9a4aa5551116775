package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.copperspindle.wire.WireMessage;

/**
 * What the parts of a {@link RaftNode} share: term, role, log, and what waits for the disk.
 */
final class RaftState {

    private final RaftSettings settings;
    private final RaftLog log = new RaftLog();
    private final Deque<HeldMessage> held = new ArrayDeque<>();
    private final Deque<PendingAppend> appends = new ArrayDeque<>();
    private List<RaftAction> actions = new ArrayList<>();
    private HardState hard;
    private RaftRole role = RaftRole.FOLLOWER;
    private long leader;
    private long heardLeaderAt;
    private boolean fresh = true;
    private long commit;
    private long applied;
    private long durable;
    private long requestedTo;
    private long requested;
    private long completed;
    private long hardRequested;
    private long appliedBytes;

    RaftState(RaftSettings settings, RecoveredState recovered, long now) {
        this.settings = settings;
        this.hard = recovered.hardState();
        // A restarted member doesn't know what it promised a leader: it counts as having just heard one, so that it
        // gives no vote while a lease that it helped to grant may still run.
        this.heardLeaderAt = now;
        recovered.snapshot().ifPresent(s -> {
            log.reset(s);
            commit = s.index();
            applied = s.index();
        });
        recovered.entries().forEach(log::append);
        durable = log.lastIndex();
        requestedTo = durable;
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

    long heardLeaderAt() {
        return heardLeaderAt;
    }

    /** Says whether the member has neither led nor heard a leader since its process started. */
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

    /** Returns the newest request that holds the term, so that a reply in this term can wait for it. */
    long hardSequence() {
        return hardRequested;
    }

    void become(RaftRole next, long knownLeader) {
        if (role == RaftRole.LEADER && next != RaftRole.LEADER) {
            // What was only in memory goes to the disk before anything that is promised as a follower: a later leader
            // may find these entries here and count them.
            persistTail();
            actions.add(new RaftAction.LeadershipLost());
        }
        role = next;
        leader = knownLeader;
        fresh = fresh && next != RaftRole.LEADER;
    }

    /** Notes a valid message from the leader of this term. */
    void heardLeader(long from, long now) {
        become(RaftRole.FOLLOWER, from);
        heardLeaderAt = now;
        fresh = false;
    }

    /** Goes on to a newer term as a follower. */
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

    /** Sends the entries that are only in memory to the disk; returns the newest request. */
    long persistTail() {
        if (requestedTo >= log.lastIndex()) {
            return requested;
        }
        long sequence = persist(new PersistRequest.AppendEntries(log.from(requestedTo + 1, Integer.MAX_VALUE)));
        requestedTo = log.lastIndex();
        appends.addLast(new PendingAppend(sequence, requestedTo));
        return sequence;
    }

    void truncateFrom(long index) {
        log.truncateFrom(index);
        durable = Math.min(durable, index - 1);
        requestedTo = Math.min(requestedTo, index - 1);
        List<PendingAppend> cut = appends.stream()
                .map(a -> new PendingAppend(a.sequence(), Math.min(a.last(), index - 1)))
                .toList();
        appends.clear();
        appends.addAll(cut);
    }

    /** Replaces log and state by the leader's snapshot; durable once the returned request is. */
    long install(LogSnapshot snapshot) {
        log.reset(snapshot);
        appends.clear();
        durable = 0;
        requestedTo = snapshot.index();
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
        while (!held.isEmpty() && held.peekFirst().sequence() <= completed) {
            release(held.pollFirst());
        }
    }

    void commitTo(long index) {
        commit = Math.max(commit, index);
    }

    void applyCommitted() {
        // Never ahead of the own disk: a snapshot of this state must not name entries that a crash could take back.
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

    /** Addresses an answer. A member that belongs to no group yet answers in the group that it is asked from. */
    RaftMessage.Envelope answer(RaftMessage.Envelope request) {
        return new RaftMessage.Envelope(request.group(), identity(), request.from(), hard.term(), settings.address());
    }

    void send(Member to, WireMessage message) {
        send(to.address(), message);
    }

    void send(String address, WireMessage message) {
        actions.add(new RaftAction.Send(address, message));
    }

    /** Sends a message once a request to the disk is done. */
    void sendAfter(long sequence, String address, RaftMessage message) {
        if (isDurable(sequence)) {
            send(address, message);
            return;
        }
        held.addLast(new HeldMessage(sequence, address, message));
    }

    void act(RaftAction action) {
        actions.add(action);
    }

    List<RaftAction> drain() {
        List<RaftAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    private void release(HeldMessage message) {
        // What was to be said in an older term is not said any more; losing a message is always allowed.
        if (message.message().envelope().term() == hard.term()) {
            send(message.address(), message.message());
        }
    }

    private record HeldMessage(long sequence, String address, RaftMessage message) {}

    private record PendingAppend(long sequence, long last) {}
}
