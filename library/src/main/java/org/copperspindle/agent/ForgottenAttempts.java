package org.copperspindle.agent;

/**
 * Marks left by attempts whose records were removed: three readings of the agent's clock, whatever the number of
 * attempts. A bounded table has to forget records, and must afterwards neither run an order that it has refused, nor
 * report an attempt as not run that has run; in both cases the caller's request could take effect twice. Each mark
 * covers every removed record, and errs towards refusing an order and towards not reporting {@code NOT_RUN}.
 */
final class ForgottenAttempts {

    private long floor;
    private long lastRepeatableStart = -1;
    private long lastUnrepeatableStart = -1;

    /**
     * Covers a refusal without a record, or a record that was removed while a copy of its order could still be
     * accepted.
     */
    void raiseFloor(long acceptableUntil) {
        floor = Math.max(floor, acceptableUntil);
    }

    /** Returns whether an unknown order may be a copy of a refused one and has to be refused too. */
    boolean belowFloor(long acceptableUntil) {
        return acceptableUntil <= floor;
    }

    /**
     * Covers an attempt that ran and whose record was removed. Unrepeatable attempts have a mark of their own, because
     * their records are kept longer.
     */
    void addRan(AttemptRecord record) {
        if (record.repeatable()) {
            lastRepeatableStart = Math.max(lastRepeatableStart, record.startedAt());
        } else {
            lastUnrepeatableStart = Math.max(lastUnrepeatableStart, record.startedAt());
        }
    }

    /**
     * Returns whether an unknown attempt is proven never to have run in this incarnation. If it started, it did so
     * after the clock reading that was known before its dispatch; so if all forgotten attempts started before that
     * reading, it is not one of them.
     *
     * @param clockMicros  a reading from before the attempt was dispatched
     * @param unrepeatable whether the attempt is known to be unrepeatable
     */
    boolean neverRan(long clockMicros, boolean unrepeatable) {
        return clockMicros
                > (unrepeatable ? lastUnrepeatableStart : Math.max(lastRepeatableStart, lastUnrepeatableStart));
    }
}
