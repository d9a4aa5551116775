package org.copperspindle.agent;

/**
 * What remains of attempts whose records are gone: three readings of the agent's clock, whatever their number.
 * Safeguard: a bounded table has to forget, and must then neither run an order that it has refused, nor call an attempt
 * not run that it has run. The caller would get a doubled install in both cases; enough, because each mark covers every
 * record that was dropped, and errs on the side of refusing and of promising nothing.
 */
final class ForgottenAttempts {

    private long floor;
    private long repeatableUpTo = -1;
    private long unrepeatableUpTo = -1;

    /** A refusal was sent, or a record dropped, while a copy of its order could still be accepted. */
    void raiseFloor(long lapsesAt) {
        floor = Math.max(floor, lapsesAt);
    }

    /** Says whether an unknown order may be a copy of one that was refused: then it is refused too. */
    boolean belowFloor(long lapsesAt) {
        return lapsesAt <= floor;
    }

    /** The record of an attempt that ran is gone. Unrepeatable ones are marked apart, because they are kept longer. */
    void ran(AttemptRecord record) {
        if (record.repeatable()) {
            repeatableUpTo = Math.max(repeatableUpTo, record.startedAt());
        } else {
            unrepeatableUpTo = Math.max(unrepeatableUpTo, record.startedAt());
        }
    }

    /**
     * Says whether an unknown attempt is proven never to have run in this life. It started, if it did, after the reading
     * that was known before it was dispatched; so it is not among the forgotten ones if they all started before.
     *
     * @param clockMicros  a reading from before the attempt was dispatched
     * @param unrepeatable whether the attempt is known to be unrepeatable
     */
    boolean neverRan(long clockMicros, boolean unrepeatable) {
        return clockMicros > (unrepeatable ? unrepeatableUpTo : Math.max(repeatableUpTo, unrepeatableUpTo));
    }
}
