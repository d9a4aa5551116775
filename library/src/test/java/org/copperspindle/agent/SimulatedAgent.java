package org.copperspindle.agent;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import org.copperspindle.entry.SimulatedUpstream;
import org.copperspindle.time.TimerService;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/** One life of an agent in front of a simulated upstream. */
public final class SimulatedAgent {

    private final TimerService timers;
    private final SimulatedUpstream upstream;
    private final long incarnation;
    private final Map<String, AttemptOutcomeMessage> ended = new HashMap<>();
    private final Map<String, java.util.List<Peer>> running = new HashMap<>();
    private boolean dead;

    // Starts a life.
    public SimulatedAgent(TimerService timers, SimulatedUpstream upstream, long incarnation) {
        this.timers = timers;
        this.upstream = upstream;
        this.incarnation = incarnation;
    }

    // Ends this life: its table is gone; what the upstream has been sent goes on.
    public void die() {
        dead = true;
    }

    // Whether this life is over.
    public boolean dead() {
        return dead;
    }

    // This life's number.
    public long incarnation() {
        return incarnation;
    }

    // Reading of this life's clock.
    public long clockMicros() {
        return timers.nanoTime() / 1000 + 1;
    }

    // Takes a message of an entry.
    public void receive(WireMessage message, Peer from) {
        if (dead) {
            return;
        }
        if (message instanceof AttemptOrderMessage order) {
            order(order, from);
        } else if (message instanceof OutcomeQueryMessage query) {
            query(query, from);
        }
        upstream.agentTookMessage(this);
    }

    private void order(AttemptOrderMessage order, Peer from) {
        if (ended.containsKey(order.attemptId())) {
            from.send(ended.get(order.attemptId()));
            return;
        }
        if (running.containsKey(order.attemptId())) {
            running.get(order.attemptId()).add(from);
            return;
        }
        if (order.agentIncarnation() != incarnation) {
            from.send(refuse(order.attemptId(), new MayHaveRunVerdict("other-incarnation")));
            return;
        }
        running.put(order.attemptId(), new java.util.ArrayList<>(java.util.List.of(from)));
        upstream.call(order, chunk -> from.send(chunk), outcome -> end(outcome));
    }

    private void end(AttemptOutcomeMessage outcome) {
        if (dead) {
            return;
        }
        ended.put(outcome.attemptId(), outcome);
        running.remove(outcome.attemptId()).forEach(peer -> peer.send(outcome));
        upstream.agentTookMessage(this);
    }

    private void query(OutcomeQueryMessage query, Peer from) {
        if (ended.containsKey(query.attemptId())) {
            from.send(ended.get(query.attemptId()));
        } else if (running.containsKey(query.attemptId())) {
            running.get(query.attemptId()).add(from);
        } else if (query.agentIncarnation() != incarnation) {
            from.send(refuse(query.attemptId(), new MayHaveRunVerdict("agent-restarted")));
        } else {
            AttemptOutcomeMessage never = refuse(query.attemptId(), new NotRunVerdict("never-arrived"));
            ended.put(query.attemptId(), never);
            from.send(never);
        }
    }

    private static AttemptOutcomeMessage refuse(String attemptId, org.copperspindle.verdict.Verdict verdict) {
        return new AttemptOutcomeMessage(
                attemptId, verdict, 0, "", "".getBytes(StandardCharsets.UTF_8), false, 0, 0, 0, -1);
    }
}
