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
 * The bounded set of remembered attempts, and when each next falls due. A record that has to go before its time leaves
 * its mark in {@link ForgottenAttempts}.
 */
final class AttemptRecords {

    /** Share of the records that may be refusals of attempts never seen: those can't be evicted. */
    private static final int SHARE_FOR_GOOD = 4;

    private final int limit;
    private final OutcomeStore outcomes;
    private final ForgottenAttempts forgotten;
    private final Map<String, AttemptRecord> byAttempt = new HashMap<>();
    private final Set<AttemptRecord> evictable = new LinkedHashSet<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private int forGood;

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

    /** Adds a refusal that must stay until it lapses: no floor could stand in for it without refusing all new work. */
    void putForGood(AttemptRecord record) {
        put(record);
        forGood++;
    }

    /** From now on the record may go when another needs its place. */
    void mayEvict(AttemptRecord record) {
        evictable.add(record);
    }

    /** Frees a place if none is free; the oldest evictable record goes. Returns false if there is none. */
    boolean makeRoom() {
        if (byAttempt.size() < limit) {
            return true;
        }
        Iterator<AttemptRecord> oldest = evictable.iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        AttemptRecord record = oldest.next();
        forgotten.raiseFloor(record.lapsesAt());
        forget(record);
        return true;
    }

    boolean makeRoomForGood() {
        return forGood < limit / SHARE_FOR_GOOD && makeRoom();
    }

    void forget(AttemptRecord record) {
        byAttempt.remove(record.attemptId());
        boolean wasEvictable = evictable.remove(record);
        if (record.state() == AttemptRecord.State.ENDED) {
            outcomes.remove(record);
            forgotten.ran(record);
        } else if (!wasEvictable) {
            forGood--;
        }
    }

    /** Notes when the record falls due next; an earlier note of the same record no longer counts. */
    void due(AttemptRecord record) {
        if (record.dueAt() < Long.MAX_VALUE) {
            dues.add(new Due(record.dueAt(), record.attemptId()));
        }
    }

    /** Takes the next record that is due. */
    Optional<AttemptRecord> pollDue(long now) {
        while (!dues.isEmpty() && dues.peek().at() <= now) {
            Due due = dues.poll();
            AttemptRecord record = byAttempt.get(due.attemptId());
            if (record != null && record.dueAt() == due.at()) {
                return Optional.of(record);
            }
        }
        return Optional.empty();
    }

    OptionalLong nextDue() {
        return dues.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(dues.peek().at());
    }

    int size() {
        return byAttempt.size();
    }

    private record Due(long at, String attemptId) {}
}
