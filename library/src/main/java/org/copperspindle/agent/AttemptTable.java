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
 * The attempts known to one incarnation of an agent: a pure state machine. Every event takes the reading of the agent's
 * clock in microseconds and returns the actions to perform, in order.
 *
 * <p>A delayed or duplicate order must not run an attempt again, nor run one that was reported {@code NOT_RUN}; the
 * caller's request would take effect twice. Three rules prevent that. An attempt enters the table before it runs, and a
 * refusal before it is sent. An order is accepted only while this agent's own clock is before the deadline stamped on
 * the order, so a record is forgotten only when no copy of its order can be accepted any more. A record that is removed
 * earlier raises the marks in {@link ForgottenAttempts}.
 */
final class AttemptTable {

    /** Relative difference allowed between the rates of two monotonic clocks, the same as for leases. */
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
     * @param incarnation incarnation of the agent
     * @param limits      limits of the agent
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
     * Switches to a larger incarnation, because the clock that incarnations are derived from was set back. Called
     * before the first lease, so that no entry knows this incarnation yet and no order for it has arrived.
     *
     * @param newIncarnation the incarnation to continue with
     */
    void onIncarnation(long newIncarnation) {
        incarnation = newIncarnation;
    }

    /** Handles an order. */
    List<AgentAction> onOrder(StampedOrderMessage order, Peer from, long now) {
        Optional<AttemptRecord> known = records.find(order.attemptId());
        if (known.isPresent()) {
            return sendOrSubscribe(known.get(), from);
        }
        Optional<Verdict> rejection = rejection(order, now);
        if (rejection.isPresent()) {
            return List.of(new AgentAction.Send(
                    from, AttemptOutcomeMessage.withoutAnswer(order.attemptId(), rejection.get())));
        }
        List<AgentAction> actions = new ArrayList<>();
        Optional<String> refusal = refusal(order, now, actions);
        if (refusal.isPresent()) {
            actions.add(refuse(order, from, refusal.get(), now));
            return actions;
        }
        AttemptRecord record = AttemptRecord.waiting(order, from, acceptableUntil(order));
        records.put(record);
        queue.add(record);
        startQueued(now, actions);
        return actions;
    }

    /** Handles a query for the outcome of an attempt. */
    List<AgentAction> onQuery(OutcomeQueryMessage query, Peer from, long now) {
        Optional<AttemptRecord> known = records.find(query.attemptId());
        if (known.isPresent()) {
            return sendOrSubscribe(known.get(), from);
        }
        AttemptOutcomeMessage outcome =
                AttemptOutcomeMessage.withoutAnswer(query.attemptId(), verdictOnUnknown(query, now));
        if (outcome.verdict() instanceof NotRunVerdict) {
            // Its order may still be in transit or not even sent. The request was admitted before anyone could query
            // the attempt, so the clock reading stamped on its order is at most the longest deadline from now, and the
            // order is accepted for at most the greatest age of a reading after that.
            long acceptableUntil = now + longestDeadline() + limits.maxClockAgeMicros();
            records.putPinned(AttemptRecord.refused(query.attemptId(), outcome, acceptableUntil));
        }
        return List.of(new AgentAction.Send(from, outcome));
    }

    /** Handles the acknowledgement of an outcome. */
    void onAcknowledge(String attemptId) {
        records.find(attemptId)
                .filter(record -> record.state() == AttemptRecord.State.ENDED)
                .ifPresent(record -> {
                    outcomes.acknowledge(record);
                    records.markEvictable(record);
                });
    }

    /**
     * Handles the cancellation of an attempt that nobody waits for any more. Unrepeatable work that has started
     * continues.
     */
    List<AgentAction> onCancel(String attemptId, long now) {
        Optional<AttemptRecord> known = records.find(attemptId);
        if (known.isEmpty()) {
            return List.of();
        }
        List<AgentAction> actions = new ArrayList<>();
        AttemptRecord record = known.get();
        if (record.state() == AttemptRecord.State.WAITING) {
            refuseQueued(record, "cancelled", actions);
        } else if (record.state() == AttemptRecord.State.RUNNING && record.repeatable() && !record.aborted()) {
            abort(record, "cancelled", actions);
        }
        return actions;
    }

    /** Handles the end of a call to the upstream. A second end of the same attempt has no effect. */
    List<AgentAction> onEnded(AttemptOutcomeMessage outcome, boolean allRelayed, long now) {
        Optional<AttemptRecord> known = records.find(outcome.attemptId());
        if (known.filter(r -> r.state() == AttemptRecord.State.RUNNING).isEmpty()) {
            return List.of();
        }
        AttemptRecord record = known.get();
        List<AgentAction> actions = new ArrayList<>();
        for (Peer peer : record.subscribers()) {
            boolean hasChunks = allRelayed && peer == record.orderedBy();
            actions.add(new AgentAction.Send(peer, hasChunks ? outcome.withoutBody() : outcome));
        }
        running--;
        long forgetAt = Math.max(record.acceptableUntil(), record.expiresAt());
        if (!record.repeatable()) {
            forgetAt = Math.max(forgetAt, now + limits.retentionMicros());
            outcomes.release();
        }
        record.end(outcome, forgetAt);
        outcomes.add(record);
        if (!record.irreplaceable()) {
            records.markEvictable(record);
        }
        records.due(record);
        startQueued(now, actions);
        return actions;
    }

    /** Handles the passing of time: aborts attempts past their deadline and removes expired records. */
    List<AgentAction> onTick(long now) {
        List<AgentAction> actions = new ArrayList<>();
        for (Optional<AttemptRecord> due = records.pollDue(now); due.isPresent(); due = records.pollDue(now)) {
            onDue(due.get(), actions);
        }
        startQueued(now, actions);
        return actions;
    }

    /** Starts to refuse new and queued work for the given reason, or accepts work again if there is none. */
    List<AgentAction> onRefusing(Optional<String> reason, long now) {
        refusing = reason;
        List<AgentAction> actions = new ArrayList<>();
        if (reason.isPresent()) {
            for (Optional<AttemptRecord> next = queue.poll(); next.isPresent(); next = queue.poll()) {
                refuseQueued(next.get(), reason.get(), actions);
            }
        }
        return actions;
    }

    /**
     * Applies a configuration. A higher concurrency starts queued attempts, a lower one aborts none; the longest
     * deadline never shrinks, because requests admitted under an older version may still be in progress.
     */
    List<AgentAction> onConfiguration(int attempts, long longestDeadlineMicros, long now) {
        concurrency = attempts;
        maxDeadline = Math.max(maxDeadline, longestDeadlineMicros);
        List<AgentAction> actions = new ArrayList<>();
        startQueued(now, actions);
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

    /** Returns the number of responses that an entry may still query. */
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

    /** Rejects orders that need no record, because every later copy is rejected the same way. */
    private Optional<Verdict> rejection(StampedOrderMessage order, long now) {
        if (!order.order().upstreamId().equals(upstreamId)) {
            return Optional.of(new NotRunVerdict("other-upstream"));
        }
        if (order.order().agentIncarnation() != incarnation) {
            // Another copy may have run in that incarnation. Entries don't send such an order in the first place.
            return Optional.of(new MayHaveRunVerdict("other-incarnation"));
        }
        if (order.clockMicros() <= 0 || order.clockMicros() > now) {
            // Not a reading of this clock. The verdict can't be NOT_RUN, because a copy could become valid later.
            return Optional.of(new MayHaveRunVerdict("clock-unknown"));
        }
        Optional<String> reason = Optional.empty();
        if (now >= order.expiresAtMicros()) {
            reason = Optional.of("deadline");
        } else if (now >= acceptableUntil(order)) {
            reason = Optional.of("delayed");
        } else if (forgotten.belowFloor(acceptableUntil(order))) {
            reason = Optional.of("table-full");
        }
        // An earlier copy may have run and been forgotten: refusing this one does not prove that none ran.
        boolean provable =
                forgotten.neverRan(order.clockMicros(), !order.order().repeatable());
        return reason.map(r -> provable ? new NotRunVerdict(r) : new MayHaveRunVerdict(r));
    }

    /** Returns the end of the time in which a copy of the order could be accepted. */
    private long acceptableUntil(StampedOrderMessage order) {
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
            refuseQueued(lower.get(), "displaced", actions);
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
            AttemptRecord record = AttemptRecord.refused(order.attemptId(), outcome, acceptableUntil(order));
            records.put(record);
            records.markEvictable(record);
        } else {
            forgotten.raiseFloor(acceptableUntil(order));
        }
        return new AgentAction.Send(from, outcome);
    }

    private void refuseQueued(AttemptRecord record, String reason, List<AgentAction> actions) {
        queue.remove(record);
        if (!record.repeatable()) {
            outcomes.release();
        }
        AttemptOutcomeMessage outcome =
                AttemptOutcomeMessage.withoutAnswer(record.attemptId(), new NotRunVerdict(reason));
        record.subscribers().forEach(peer -> actions.add(new AgentAction.Send(peer, outcome)));
        record.refuse(outcome);
        records.markEvictable(record);
        records.due(record);
    }

    private Verdict verdictOnUnknown(OutcomeQueryMessage query, long now) {
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
        if (!records.makeRoomForPinned()) {
            return new MayHaveRunVerdict("table-full");
        }
        return new NotRunVerdict("never-arrived");
    }

    private List<AgentAction> sendOrSubscribe(AttemptRecord known, Peer from) {
        if (known.outcome().isPresent()) {
            return List.of(new AgentAction.Send(from, known.outcome().get()));
        }
        known.subscribe(from);
        return List.of();
    }

    private void startQueued(long now, List<AgentAction> actions) {
        while (running < concurrency) {
            Optional<AttemptRecord> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            AttemptRecord record = next.get();
            if (now >= record.expiresAt()) {
                refuseQueued(record, "deadline", actions);
                continue;
            }
            running++;
            actions.add(record.start(now));
            record.dueAt(abortAt(record));
            records.due(record);
        }
    }

    /**
     * Returns when a running attempt is aborted. A late response of unrepeatable work is still useful: a resend of the
     * request then gets the real outcome.
     */
    private long abortAt(AttemptRecord record) {
        return record.repeatable() ? record.expiresAt() : record.expiresAt() + limits.abortGraceMicros();
    }

    private void onDue(AttemptRecord record, List<AgentAction> actions) {
        switch (record.state()) {
            case WAITING -> refuseQueued(record, "deadline", actions);
            case RUNNING -> abort(record, "deadline", actions);
            default -> records.forget(record);
        }
    }

    private void abort(AttemptRecord record, String reason, List<AgentAction> actions) {
        record.abort();
        actions.add(new AgentAction.Abort(record.attemptId(), reason));
    }
}
