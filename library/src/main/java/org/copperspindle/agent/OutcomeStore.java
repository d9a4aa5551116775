package org.copperspindle.agent;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the bytes of kept responses. Bodies are dropped in this order: acknowledged ones by age, then those of
 * repeatable attempts by age. Dropping the unacknowledged response of an unrepeatable attempt would lose work that
 * can't be repeated; space for the largest response is therefore reserved before such an attempt is accepted.
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

    /** Reserves space for the response of an unrepeatable attempt. Returns false if there is not enough. */
    boolean reserve() {
        if (irreplaceableBytes + (reservations + 1) * reservation > limit) {
            return false;
        }
        reservations++;
        enforceLimit();
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
        enforceLimit();
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
            // It is not queried again: a resend of a repeatable request is simply run.
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

    /** Returns the number of responses that an entry may still query. */
    int unacknowledged() {
        return unacknowledged + repeatable.size();
    }

    private void enforceLimit() {
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
