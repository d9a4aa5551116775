package org.copperspindle.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.Verdict;
import org.copperspindle.wire.Peer;

/**
 * What one life of an agent knows of attempts: a pure state machine. Every event takes the reading of the agent's clock
 * in microseconds and returns what to do, in order.
 *
 * <p>Safeguard: a delayed or doubled order must not run an attempt again, nor one that was reported {@code NOT_RUN}; the
 * caller would see a doubled install. Enough, because an attempt enters the table before it runs and a refusal before it
 * is sent; because an order can only be accepted while this agent's own clock is before the instant that the order
 * names, so that a record is forgotten only when no copy can be accepted any more; and because a record that has to go
 * earlier leaves its mark in {@link ForgottenAttempts}.
 */
final class AttemptTable {

    /** Allowed difference of two monotonic clocks' rates, as for leases. */
    private static final double CLOCK_DRIFT = 0.01;

    private final String upstreamId;
    private long incarnation;
    private final AgentLimits limits;
    private final AttemptQueue queue = new AttemptQueue();
    private final ForgottenAttempts forgotten = new ForgottenAttempts();
    private final OutcomeStore outcomes;
    private final AttemptRecords records;
    private Optional<String> refusing = Optional.empty();
    private int concurrency;
    private long maxDeadline;
    private int running;

    /**
     * Creates an empty table.
     *
     * @param upstreamId  the upstream
     * @param incarnation this life of the agent
     * @param limits      what it allows and keeps
     */
    AttemptTable(String upstreamId, long incarnation, AgentLimits limits) {
        this.upstreamId = upstreamId;
        this.incarnation = incarnation;
        this.limits = limits;
        this.concurrency = limits.concurrency();
        this.maxDeadline = limits.maxDeadlineMicros();
        this.outcomes = new OutcomeStore(limits.keptBytes(), limits.maxResponse());
        this.records = new AttemptRecords(limits.records(), outcomes, forgotten);
    }

    /**
     * Takes a larger incarnation, because the clock that numbers lives was set back. Called before the first lease, so
     * that no entry knows this life yet and no order of it has come.
     *
     * @param larger the incarnation to go on under
     */
    void onIncarnation(long larger) {
        incarnation = larger;
    }

    /** An order arrived. */
    List<AgentAction> onOrder(StampedOrderMessage order, Peer from, long now) {
        Optional<AttemptRecord> known = records.find(order.attemptId());
        if (known.isPresent()) {
            return follow(known.get(), from);
        }
        Optional<Verdict> stale = stale(order, now);
        if (stale.isPresent()) {
            return List.of(
                    new AgentAction.Send(from, AttemptOutcomeMessage.withoutAnswer(order.attemptId(), stale.get())));
        }
        List<AgentAction> actions = new ArrayList<>();
        Optional<String> refusal = refusal(order, now, actions);
        if (refusal.isPresent()) {
            actions.add(refuse(order, from, refusal.get(), now));
            return actions;
        }
        AttemptRecord record = AttemptRecord.waiting(order, from, lapse(order));
        records.put(record);
        queue.add(record);
        startWaiting(now, actions);
        return actions;
    }

    /** Another connection asks for an outcome. */
    List<AgentAction> onQuery(OutcomeQueryMessage query, Peer from, long now) {
        Optional<AttemptRecord> known = records.find(query.attemptId());
        if (known.isPresent()) {
            return follow(known.get(), from);
        }
        AttemptOutcomeMessage outcome =
                AttemptOutcomeMessage.withoutAnswer(query.attemptId(), neverArrived(query, now));
        if (outcome.verdict() instanceof NotRunVerdict) {
            // Its order may still be under way or even unsent. The request was admitted before anyone could ask for the
            // attempt, so the reading that its order is stamped with is at most its deadline away, and the order is
            // accepted at most the greatest age of a reading later.
            long lapse = now + longestDeadline() + limits.maxClockAgeMicros();
            records.putForGood(AttemptRecord.refused(query.attemptId(), outcome, lapse));
        }
        return List.of(new AgentAction.Send(from, outcome));
    }

    /** The entry has the outcome. */
    void onAcknowledge(String attemptId) {
        records.find(attemptId)
                .filter(record -> record.state() == AttemptRecord.State.ENDED)
                .ifPresent(record -> {
                    outcomes.acknowledge(record);
                    records.mayEvict(record);
                });
    }

    /** Nobody waits for the attempt any more. Work that may not be repeated goes on once it has started. */
    List<AgentAction> onCancel(String attemptId, long now) {
        Optional<AttemptRecord> known = records.find(attemptId);
        if (known.isEmpty()) {
            return List.of();
        }
        List<AgentAction> actions = new ArrayList<>();
        AttemptRecord record = known.get();
        if (record.state() == AttemptRecord.State.WAITING) {
            refuseWaiting(record, "cancelled", actions);
        } else if (record.state() == AttemptRecord.State.RUNNING && record.repeatable() && !record.aborted()) {
            abort(record, "cancelled", actions);
        }
        return actions;
    }

    /** The call to the upstream ended. A second end of the same attempt changes nothing. */
    List<AgentAction> onEnded(AttemptOutcomeMessage outcome, boolean allPassedOn, long now) {
        Optional<AttemptRecord> known = records.find(outcome.attemptId());
        if (known.filter(r -> r.state() == AttemptRecord.State.RUNNING).isEmpty()) {
            return List.of();
        }
        AttemptRecord record = known.get();
        List<AgentAction> actions = new ArrayList<>();
        for (Peer peer : record.subscribers()) {
            boolean hasPieces = allPassedOn && peer == record.orderedBy();
            actions.add(new AgentAction.Send(peer, hasPieces ? outcome.withoutBody() : outcome));
        }
        running--;
        long forgetAt = Math.max(record.lapsesAt(), record.expiresAt());
        if (!record.repeatable()) {
            forgetAt = Math.max(forgetAt, now + limits.keepMicros());
            outcomes.release();
        }
        record.end(outcome, forgetAt);
        outcomes.add(record);
        if (!record.irreplaceable()) {
            records.mayEvict(record);
        }
        records.due(record);
        startWaiting(now, actions);
        return actions;
    }

    /** Time passed: ends what is past its deadline and forgets what can't matter any more. */
    List<AgentAction> onTick(long now) {
        List<AgentAction> actions = new ArrayList<>();
        for (Optional<AttemptRecord> due = records.pollDue(now); due.isPresent(); due = records.pollDue(now)) {
            fallDue(due.get(), actions);
        }
        startWaiting(now, actions);
        return actions;
    }

    /** Refuses new work and what waits from now on, or takes work again. */
    List<AgentAction> onRefusing(Optional<String> reason, long now) {
        refusing = reason;
        List<AgentAction> actions = new ArrayList<>();
        if (reason.isPresent()) {
            for (Optional<AttemptRecord> next = queue.poll(); next.isPresent(); next = queue.poll()) {
                refuseWaiting(next.get(), reason.get(), actions);
            }
        }
        return actions;
    }

    /**
     * A configuration came into force. More may start, none is cut off; the longest deadline never shrinks, because
     * requests admitted under an older version may still be under way.
     */
    List<AgentAction> onConfiguration(int attempts, long longestDeadlineMicros, long now) {
        concurrency = attempts;
        maxDeadline = Math.max(maxDeadline, longestDeadlineMicros);
        List<AgentAction> actions = new ArrayList<>();
        startWaiting(now, actions);
        return actions;
    }

    OptionalLong nextDue() {
        return records.nextDue();
    }

    int running() {
        return running;
    }

    int waiting() {
        return queue.size();
    }

    /** Returns how many answers someone may still ask for. */
    int unacknowledged() {
        return outcomes.unacknowledged();
    }

    int size() {
        return records.size();
    }

    long keptBytes() {
        return outcomes.bytes();
    }

    boolean refusing() {
        return refusing.isPresent();
    }

    /** Judges orders that need no record, because every later copy is refused the same way. */
    private Optional<Verdict> stale(StampedOrderMessage order, long now) {
        if (!order.order().upstreamId().equals(upstreamId)) {
            return Optional.of(new NotRunVerdict("other-upstream"));
        }
        if (order.order().agentIncarnation() != incarnation) {
            // Another copy may have run in that life; an entry does not send such an order in the first place.
            return Optional.of(new MayHaveRunVerdict("other-incarnation"));
        }
        if (order.clockMicros() <= 0 || order.clockMicros() > now) {
            // Not a reading of this clock. Promises nothing: a copy could look valid later.
            return Optional.of(new MayHaveRunVerdict("clock-unknown"));
        }
        Optional<String> reason = Optional.empty();
        if (now >= order.expiresAtMicros()) {
            reason = Optional.of("deadline");
        } else if (now >= lapse(order)) {
            reason = Optional.of("delayed");
        } else if (forgotten.belowFloor(lapse(order))) {
            reason = Optional.of("table-full");
        }
        // An earlier copy may have run and been forgotten: refusing this one does not prove that none ran.
        boolean provable =
                forgotten.neverRan(order.clockMicros(), !order.order().repeatable());
        return reason.map(r -> provable ? new NotRunVerdict(r) : new MayHaveRunVerdict(r));
    }

    /** Last instant at which a copy of the order could be accepted. */
    private long lapse(StampedOrderMessage order) {
        return Math.min(order.expiresAtMicros(), order.clockMicros() + limits.maxClockAgeMicros());
    }

    private long longestDeadline() {
        return (long) (maxDeadline * (1 + CLOCK_DRIFT));
    }

    private Optional<String> refusal(StampedOrderMessage order, long now, List<AgentAction> actions) {
        if (refusing.isPresent()) {
            return refusing;
        }
        if (order.expiresAtMicros() > now + longestDeadline()) {
            return Optional.of("deadline-too-far");
        }
        if (!records.makeRoom()) {
            return Optional.of("table-full");
        }
        boolean mustWait = running >= concurrency;
        if (mustWait && queue.size() >= limits.queue()) {
            Optional<AttemptRecord> lower = queue.lowerThan(order.order().priority());
            if (lower.isEmpty()) {
                return Optional.of("queue-full");
            }
            queue.remove(lower.get());
            refuseWaiting(lower.get(), "displaced", actions);
        }
        if (!order.order().repeatable() && !outcomes.reserve()) {
            return Optional.of("outcomes-full");
        }
        return Optional.empty();
    }

    private AgentAction refuse(StampedOrderMessage order, Peer from, String reason, long now) {
        AttemptOutcomeMessage outcome =
                AttemptOutcomeMessage.withoutAnswer(order.attemptId(), new NotRunVerdict(reason));
        if (records.makeRoom()) {
            AttemptRecord record = AttemptRecord.refused(order.attemptId(), outcome, lapse(order));
            records.put(record);
            records.mayEvict(record);
        } else {
            forgotten.raiseFloor(lapse(order));
        }
        return new AgentAction.Send(from, outcome);
    }

    private void refuseWaiting(AttemptRecord record, String reason, List<AgentAction> actions) {
        queue.remove(record);
        if (!record.repeatable()) {
            outcomes.release();
        }
        AttemptOutcomeMessage outcome =
                AttemptOutcomeMessage.withoutAnswer(record.attemptId(), new NotRunVerdict(reason));
        record.subscribers().forEach(peer -> actions.add(new AgentAction.Send(peer, outcome)));
        record.refuse(outcome);
        records.mayEvict(record);
        records.due(record);
    }

    private Verdict neverArrived(OutcomeQueryMessage query, long now) {
        if (query.agentIncarnation() != incarnation) {
            return new MayHaveRunVerdict(query.agentIncarnation() == 0 ? "incarnation-unknown" : "agent-restarted");
        }
        if (!forgotten.neverRan(query.clockMicros(), query.unrepeatable())) {
            // An attempt dispatched at this reading may have run and been forgotten.
            return new MayHaveRunVerdict("outcome-forgotten");
        }
        if (query.clockMicros() > now) {
            return new MayHaveRunVerdict("clock-unknown");
        }
        if (!records.makeRoomForGood()) {
            return new MayHaveRunVerdict("table-full");
        }
        return new NotRunVerdict("never-arrived");
    }

    private List<AgentAction> follow(AttemptRecord known, Peer from) {
        if (known.outcome().isPresent()) {
            return List.of(new AgentAction.Send(from, known.outcome().get()));
        }
        known.subscribe(from);
        return List.of();
    }

    private void startWaiting(long now, List<AgentAction> actions) {
        while (running < concurrency) {
            Optional<AttemptRecord> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            AttemptRecord record = next.get();
            if (now >= record.expiresAt()) {
                refuseWaiting(record, "deadline", actions);
                continue;
            }
            running++;
            actions.add(record.start(now));
            record.dueAt(cutAt(record));
            records.due(record);
        }
    }

    /** A late answer of unrepeatable work is still worth having: a resent request is told the truth. */
    private long cutAt(AttemptRecord record) {
        return record.repeatable() ? record.expiresAt() : record.expiresAt() + limits.lingerMicros();
    }

    private void fallDue(AttemptRecord record, List<AgentAction> actions) {
        switch (record.state()) {
            case WAITING -> refuseWaiting(record, "deadline", actions);
            case RUNNING -> abort(record, "deadline", actions);
            default -> records.forget(record);
        }
    }

    private void abort(AttemptRecord record, String reason, List<AgentAction> actions) {
        record.abort();
        actions.add(new AgentAction.Abort(record.attemptId(), reason));
    }
}
