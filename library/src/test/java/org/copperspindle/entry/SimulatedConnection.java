package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.agent.AgentClock;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.SimulatedAgent;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * A connection of an entry to an agent, less reliable than TCP: it drops, duplicates and reorders messages, and
 * delivers some to the agent after the entry was notified that the connection is closed.
 */
final class SimulatedConnection implements Peer {

    private final SimulatedDeployment deployment;
    private final SimulatedEntry entry;
    private final InetSocketAddress address;
    private final List<WireMessage> waiting = new ArrayList<>();
    private SimulatedAgent agent;
    private AgentClock clock;
    private long lastToAgent;
    private long lastToEntry;
    private boolean cut;

    SimulatedConnection(SimulatedDeployment deployment, SimulatedEntry entry, InetSocketAddress address) {
        this.deployment = deployment;
        this.entry = entry;
        this.address = address;
        deployment.later(this::connected);
    }

    boolean open() {
        return agent != null && !cut;
    }

    long clockMicros(long incarnation) {
        return clock != null && incarnation == clock.incarnation() ? clock.readingMicros() : 0;
    }

    void toAgent(WireMessage message) {
        if (agent == null) {
            waiting.add(message);
            return;
        }
        Optional<? extends WireMessage> stamped = message instanceof AttemptOrderMessage order
                ? clock.stamp(
                        order,
                        deployment.timers().nanoTime(),
                        deployment.timers().nanoTime())
                : Optional.of(message);
        if (stamped.isEmpty()) {
            deployment.timers().schedule(0, () -> entry.notSent(message));
            return;
        }
        SimulatedAgent currentAgent = agent;
        lastToAgent = deliver(() -> currentAgent.receive(stamped.get(), this), lastToAgent);
        maybeCut();
    }

    @Override
    public boolean send(WireMessage message) {
        if (cut) {
            return false;
        }
        lastToEntry = deliver(
                () -> {
                    if (!cut) {
                        entry.receive(address, message);
                    }
                },
                lastToEntry);
        maybeCut();
        return true;
    }

    /** Closes the connection. Messages in transit to the agent may still arrive there. */
    void cut() {
        if (!cut) {
            cut = true;
            deployment.count("connections cut");
            deployment.later(() -> entry.lost(address, this));
        }
    }

    @Override
    public GreetingMessage greeting() {
        return new GreetingMessage(GreetingMessage.PROTOCOL, "process", "entry", 1);
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public void close() {
        cut();
    }

    private void connected() {
        SimulatedAgent found = deployment.agent(address);
        List<WireMessage> messages = List.copyOf(waiting);
        waiting.clear();
        if (found.dead()) {
            cut = true;
            entry.lost(address, this);
            messages.forEach(entry::notSent);
            return;
        }
        agent = found;
        clock = AgentClock.of(found.report(), deployment.timers().nanoTime());
        messages.forEach(this::toAgent);
    }

    private void maybeCut() {
        if (deployment.occurs(deployment.faults().cut())) {
            cut();
        }
    }

    private long deliver(Runnable arrival, long last) {
        if (deployment.occurs(deployment.faults().drop())) {
            deployment.count("messages dropped");
            return last;
        }
        long now = deployment.timers().nanoTime();
        long at = now + deployment.delay();
        if (!deployment.occurs(deployment.faults().reorder())) {
            at = Math.max(at, last);
        } else {
            deployment.count("messages reordered");
        }
        deployment.timers().schedule(at - now, arrival);
        if (deployment.occurs(deployment.faults().duplicate())) {
            deployment.count("messages doubled");
            deployment.timers().schedule(at - now + deployment.delay(), arrival);
        }
        return Math.max(last, at);
    }
}
