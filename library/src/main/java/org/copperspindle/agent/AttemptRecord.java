package org.copperspindle.agent;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.wire.Peer;

/**
 * The record of one attempt at an agent. Times are microseconds of the agent's clock.
 */
final class AttemptRecord {

    private static final Set<Peer> NO_SUBSCRIBERS = Set.of();

    private final String attemptId;
    private final boolean repeatable;
    private final long expiresAt;
    private final long acceptableUntil;
    private State state;
    private AttemptOrderMessage order;
    private Peer orderedBy;
    private Set<Peer> subscribers = NO_SUBSCRIBERS;
    private AttemptOutcomeMessage outcome;
    private boolean acknowledged;
    private boolean aborted;
    private long startedAt;
    private long dueAt;

    private AttemptRecord(String attemptId, boolean repeatable, long expiresAt, long acceptableUntil, State state) {
        this.attemptId = attemptId;
        this.repeatable = repeatable;
        this.expiresAt = expiresAt;
        this.acceptableUntil = acceptableUntil;
        this.state = state;
        this.dueAt = expiresAt;
    }

    static AttemptRecord waiting(StampedOrderMessage stamped, Peer from, long acceptableUntil) {
        AttemptOrderMessage order = stamped.order();
        AttemptRecord record = new AttemptRecord(
                order.attemptId(), order.repeatable(), stamped.expiresAtMicros(), acceptableUntil, State.WAITING);
        record.order = order;
        record.orderedBy = from;
        record.subscribe(from);
        return record;
    }

    static AttemptRecord refused(String attemptId, AttemptOutcomeMessage outcome, long acceptableUntil) {
        AttemptRecord record = new AttemptRecord(attemptId, true, acceptableUntil, acceptableUntil, State.REFUSED);
        record.outcome = outcome;
        return record;
    }

    AgentAction.Start start(long now) {
        final AgentAction.Start start = new AgentAction.Start(order, orderedBy);
        state = State.RUNNING;
        startedAt = now;
        // The call to the upstream holds the body; a second copy here would double the memory of each attempt.
        order = null;
        return start;
    }

    void refuse(AttemptOutcomeMessage refusal) {
        state = State.REFUSED;
        outcome = refusal;
        order = null;
        forgetSubscribers();
        dueAt = acceptableUntil;
    }

    void end(AttemptOutcomeMessage ended, long forgetAt) {
        state = State.ENDED;
        outcome = ended;
        forgetSubscribers();
        dueAt = forgetAt;
    }

    void subscribe(Peer peer) {
        if (subscribers.isEmpty()) {
            subscribers = new LinkedHashSet<>(2);
        }
        subscribers.add(peer);
    }

    void acknowledge() {
        acknowledged = true;
    }

    void dropBody() {
        outcome = new AttemptOutcomeMessage(
                attemptId,
                new RanVerdict("outcome-dropped"),
                outcome.status(),
                outcome.contentType(),
                new byte[0],
                false,
                0,
                outcome.busyMicros(),
                0,
                -1);
    }

    void abort() {
        aborted = true;
        dueAt = Long.MAX_VALUE;
    }

    void dueAt(long due) {
        dueAt = due;
    }

    String attemptId() {
        return attemptId;
    }

    boolean repeatable() {
        return repeatable;
    }

    long expiresAt() {
        return expiresAt;
    }

    long acceptableUntil() {
        return acceptableUntil;
    }

    long startedAt() {
        return startedAt;
    }

    long dueAt() {
        return dueAt;
    }

    State state() {
        return state;
    }

    boolean aborted() {
        return aborted;
    }

    boolean acknowledged() {
        return acknowledged;
    }

    AttemptOrderMessage order() {
        return order;
    }

    Peer orderedBy() {
        return orderedBy;
    }

    Set<Peer> subscribers() {
        return subscribers;
    }

    Optional<AttemptOutcomeMessage> outcome() {
        return Optional.ofNullable(outcome);
    }

    int bodyBytes() {
        return outcome == null ? 0 : outcome.body().length;
    }

    /** Returns whether only this agent knows the outcome and the attempt may not be repeated. */
    boolean irreplaceable() {
        return state == State.ENDED && !repeatable && !acknowledged && outcome.verdict() instanceof RanVerdict;
    }

    private void forgetSubscribers() {
        subscribers = NO_SUBSCRIBERS;
        orderedBy = null;
    }

    /** State of an attempt at the agent. */
    enum State {
        /** Accepted, not started. */
        WAITING,
        /** Sent to the upstream. */
        RUNNING,
        /** Ended; its outcome is known, or can't be known any more. */
        ENDED,
        /** Did not run here and never will. */
        REFUSED
    }
}
