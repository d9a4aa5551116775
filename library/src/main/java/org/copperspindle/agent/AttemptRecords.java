package org.copperspindle.agent;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The bounded set of attempt records, and when each is due next. A record that is evicted before its time raises the
 * marks in {@link ForgottenAttempts}.
 */
final class AttemptRecords {

    /** One in this many records may be pinned: a refusal of an attempt that never arrived, which can't be evicted. */
    private static final int PINNED_DIVISOR = 4;

    private final int limit;
    private final OutcomeStore outcomes;
    private final ForgottenAttempts forgotten;
    private final Map<String, AttemptRecord> byAttempt = new HashMap<>();
    private final Set<AttemptRecord> evictable = new LinkedHashSet<>();
    private final PriorityQueue<Due> dueQueue = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private int pinned;

    AttemptRecords(int limit, OutcomeStore outcomes, ForgottenAttempts forgotten) {
        this.limit = limit;
        this.outcomes = outcomes;
        this.forgotten = forgotten;
    }

    Optional<AttemptRecord> find(String attemptId) {
        return Optional.ofNullable(byAttempt.get(attemptId));
    }

    void put(AttemptRecord record) {
        byAttempt.put(record.attemptId(), record);
        due(record);
    }

    /**
     * Adds a refusal that must stay until no copy of its order can be accepted: raising the floor instead would refuse
     * all new work.
     */
    void putPinned(AttemptRecord record) {
        put(record);
        pinned++;
    }

    /** Marks the record as evictable when another needs its place. */
    void markEvictable(AttemptRecord record) {
        evictable.add(record);
    }

    /** Evicts the oldest evictable record if the set is full. Returns false if it is full and nothing is evictable. */
    boolean makeRoom() {
        if (byAttempt.size() < limit) {
            return true;
        }
        Iterator<AttemptRecord> oldest = evictable.iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        AttemptRecord record = oldest.next();
        forgotten.raiseFloor(record.acceptableUntil());
        forget(record);
        return true;
    }

    boolean makeRoomForPinned() {
        return pinned < limit / PINNED_DIVISOR && makeRoom();
    }

    void forget(AttemptRecord record) {
        byAttempt.remove(record.attemptId());
        boolean wasEvictable = evictable.remove(record);
        if (record.state() == AttemptRecord.State.ENDED) {
            outcomes.remove(record);
            forgotten.addRan(record);
        } else if (!wasEvictable) {
            pinned--;
        }
    }

    /** Schedules the record for its due time; an earlier entry of the same record no longer counts. */
    void due(AttemptRecord record) {
        if (record.dueAt() < Long.MAX_VALUE) {
            dueQueue.add(new Due(record.dueAt(), record.attemptId()));
        }
    }

    /** Removes and returns the next record that is due. */
    Optional<AttemptRecord> pollDue(long now) {
        while (!dueQueue.isEmpty() && dueQueue.peek().at() <= now) {
            Due due = dueQueue.poll();
            AttemptRecord record = byAttempt.get(due.attemptId());
            if (record != null && record.dueAt() == due.at()) {
                return Optional.of(record);
            }
        }
        return Optional.empty();
    }

    OptionalLong nextDue() {
        return dueQueue.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(dueQueue.peek().at());
    }

    int size() {
        return byAttempt.size();
    }

    private record Due(long at, String attemptId) {}
}
