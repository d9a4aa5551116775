package org.copperspindle.agent;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the bytes of kept answers. Answers that may be lost go first: acknowledged ones by age, then repeatable ones
 * by age. Safeguard: dropping the unacknowledged answer of an unrepeatable attempt would lose work that can't be done
 * again; enough, because room for the largest answer is reserved before such an attempt is accepted.
 */
final class OutcomeStore {

    private final long limit;
    private final long reservation;
    private final Set<AttemptRecord> acknowledged = new LinkedHashSet<>();
    private final Set<AttemptRecord> repeatable = new LinkedHashSet<>();
    private long bytes;
    private long irreplaceableBytes;
    private int reservations;
    private int unacknowledged;

    OutcomeStore(long limit, long reservation) {
        this.limit = limit;
        this.reservation = reservation;
    }

    /** Reserves room for the answer of an unrepeatable attempt. */
    boolean reserve() {
        if (irreplaceableBytes + (reservations + 1) * reservation > limit) {
            return false;
        }
        reservations++;
        shrink();
        return true;
    }

    void release() {
        reservations--;
    }

    void add(AttemptRecord record) {
        bytes += record.bodyBytes();
        if (record.irreplaceable()) {
            irreplaceableBytes += record.bodyBytes();
            unacknowledged++;
        } else if (record.bodyBytes() > 0) {
            repeatable.add(record);
        }
        shrink();
    }

    void acknowledge(AttemptRecord record) {
        if (record.acknowledged()) {
            return;
        }
        if (record.irreplaceable()) {
            irreplaceableBytes -= record.bodyBytes();
            unacknowledged--;
            if (record.bodyBytes() > 0) {
                acknowledged.add(record);
            }
        } else if (record.bodyBytes() > 0) {
            // Nobody asks for it again: a resent repeatable request is simply run.
            remove(record);
            record.dropBody();
        }
        record.acknowledge();
    }

    void remove(AttemptRecord record) {
        if (record.irreplaceable()) {
            irreplaceableBytes -= record.bodyBytes();
            unacknowledged--;
        }
        acknowledged.remove(record);
        repeatable.remove(record);
        bytes -= record.bodyBytes();
    }

    long bytes() {
        return bytes;
    }

    /** Returns how many answers someone may still ask for. */
    int unacknowledged() {
        return unacknowledged + repeatable.size();
    }

    private void shrink() {
        long target = limit - reservations * reservation;
        dropUntil(acknowledged, target);
        dropUntil(repeatable, target);
    }

    private void dropUntil(Set<AttemptRecord> records, long target) {
        Iterator<AttemptRecord> oldest = records.iterator();
        while (bytes > target && oldest.hasNext()) {
            AttemptRecord record = oldest.next();
            oldest.remove();
            bytes -= record.bodyBytes();
            record.dropBody();
        }
    }
}
