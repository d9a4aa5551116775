package org.copperspindle.agent;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.wire.Peer;

/**
 * What an agent remembers of one attempt. Times are microseconds of the agent's clock.
 */
final class AttemptRecord {

    private static final Set<Peer> NOBODY = Set.of();

    private final String attemptId;
    private final boolean repeatable;
    private final long expiresAt;
    private final long lapsesAt;
    private State state;
    private AttemptOrderMessage order;
    private Peer orderedBy;
    private Set<Peer> subscribers = NOBODY;
    private AttemptOutcomeMessage outcome;
    private boolean acknowledged;
    private boolean aborted;
    private long startedAt;
    private long dueAt;

    private AttemptRecord(String attemptId, boolean repeatable, long expiresAt, long lapsesAt, State state) {
        this.attemptId = attemptId;
        this.repeatable = repeatable;
        this.expiresAt = expiresAt;
        this.lapsesAt = lapsesAt;
        this.state = state;
        this.dueAt = expiresAt;
    }

    static AttemptRecord waiting(StampedOrderMessage stamped, Peer from, long lapsesAt) {
        AttemptOrderMessage order = stamped.order();
        AttemptRecord record = new AttemptRecord(
                order.attemptId(), order.repeatable(), stamped.expiresAtMicros(), lapsesAt, State.WAITING);
        record.order = order;
        record.orderedBy = from;
        record.subscribe(from);
        return record;
    }

    static AttemptRecord refused(String attemptId, AttemptOutcomeMessage outcome, long lapsesAt) {
        AttemptRecord record = new AttemptRecord(attemptId, true, lapsesAt, lapsesAt, State.REFUSED);
        record.outcome = outcome;
        return record;
    }

    AgentAction.Start start(long now) {
        final AgentAction.Start start = new AgentAction.Start(order, orderedBy);
        state = State.RUNNING;
        startedAt = now;
        // Whoever calls the upstream holds the body; a second copy here would double the memory of each attempt.
        order = null;
        return start;
    }

    void refuse(AttemptOutcomeMessage refusal) {
        state = State.REFUSED;
        outcome = refusal;
        order = null;
        forgetSubscribers();
        dueAt = lapsesAt;
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

    long lapsesAt() {
        return lapsesAt;
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

    /** Returns whether the outcome is one that only this agent knows and that may not be made again. */
    boolean irreplaceable() {
        return state == State.ENDED && !repeatable && !acknowledged && outcome.verdict() instanceof RanVerdict;
    }

    private void forgetSubscribers() {
        subscribers = NOBODY;
        orderedBy = null;
    }

    /** Life of an attempt at the agent. */
    enum State {
        /** Accepted, not started. */
        WAITING,
        /** Handed to the upstream. */
        RUNNING,
        /** Its outcome is known, or known to be unknowable. */
        ENDED,
        /** Never ran here and never will. */
        REFUSED
    }
}
