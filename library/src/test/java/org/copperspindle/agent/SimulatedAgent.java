package org.copperspindle.agent;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.copperspindle.entry.SimulatedUpstream;
import org.copperspindle.time.TimerService;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/** One incarnation of an agent: the real attempt table in front of a simulated upstream. */
public final class SimulatedAgent {

    // Small enough that outcomes are forgotten during a schedule.
    private static final AgentLimits FORGETFUL = new AgentLimits(
            32,
            64,
            30,
            1 << 20,
            1 << 16,
            Duration.ofMinutes(15),
            Duration.ofMinutes(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(20),
            Duration.ofSeconds(10));

    private final TimerService timers;
    private final SimulatedUpstream upstream;
    private final long incarnation;
    private final AttemptTable table;
    private final long startedAt;
    private final Map<String, AttemptOrderMessage> running = new HashMap<>();
    private final Set<String> missedChunks = new HashSet<>();
    private boolean dead;

    public SimulatedAgent(
            TimerService timers, SimulatedUpstream upstream, String upstreamId, long incarnation, boolean forgetful) {
        this.timers = timers;
        this.upstream = upstream;
        this.incarnation = incarnation;
        this.startedAt = timers.nanoTime();
        this.table = new AttemptTable(upstreamId, incarnation, forgetful ? FORGETFUL : AgentLimits.DEFAULT);
    }

    // The table is lost; calls already sent to the upstream continue.
    public void die() {
        dead = true;
    }

    public boolean dead() {
        return dead;
    }

    public int unacknowledged() {
        return table.unacknowledged();
    }

    public long incarnation() {
        return incarnation;
    }

    public LoadReportMessage report() {
        return new LoadReportMessage("", 1, 0, -1, incarnation, clock(), 0, -1, false);
    }

    public void receive(WireMessage message, Peer from) {
        if (dead) {
            return;
        }
        if (message instanceof StampedOrderMessage order) {
            perform(table.onOrder(order, from, clock()));
        } else if (message instanceof OutcomeQueryMessage query) {
            perform(table.onQuery(query, from, clock()));
        } else if (message instanceof AttemptCancelMessage cancel) {
            perform(table.onCancel(cancel.attemptId(), clock()));
        } else if (message instanceof OutcomeAckMessage ack) {
            table.onAcknowledge(ack.attemptId());
        }
        upstream.onAgentProcessed(this);
    }

    private long clock() {
        return (timers.nanoTime() - startedAt) / 1000 + 1;
    }

    private void perform(List<AgentAction> actions) {
        actions.forEach(this::perform);
        table.nextDue()
                .ifPresent(due -> timers.schedule(Math.max(0, due - clock()) * 1000, () -> {
                    if (!dead && table.nextDue().orElse(Long.MAX_VALUE) <= clock()) {
                        perform(table.onTick(clock()));
                    }
                }));
    }

    private void perform(AgentAction action) {
        if (action instanceof AgentAction.Start start) {
            running.put(start.order().attemptId(), start.order());
            upstream.call(start.order(), chunk -> relay(chunk, start.from()), this::end);
        } else if (action instanceof AgentAction.Send send) {
            send.to().send(send.outcome());
        } else if (action instanceof AgentAction.Abort abort) {
            timers.schedule(0, () -> end(outcome(abort.attemptId())));
        }
    }

    private void relay(AttemptChunkMessage chunk, Peer to) {
        if (dead || !running.containsKey(chunk.attemptId()) || !to.send(chunk)) {
            missedChunks.add(chunk.attemptId());
        }
    }

    private void end(AttemptOutcomeMessage outcome) {
        if (dead || running.remove(outcome.attemptId()) == null) {
            return;
        }
        boolean allRelayed = outcome.chunks() > 0 && !missedChunks.remove(outcome.attemptId());
        perform(table.onEnded(outcome, allRelayed, clock()));
        upstream.onAgentProcessed(this);
    }

    private static AttemptOutcomeMessage outcome(String attemptId) {
        return AttemptOutcomeMessage.withoutAnswer(attemptId, new MayHaveRunVerdict("aborted"));
    }
}
