package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.agent.AgentClock;
import org.copperspindle.agent.AttemptCancelMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.LoadReportMessage;
import org.copperspindle.agent.LoadSubscribeMessage;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * One entry's connections to agents, opened on first use and closed when idle. Nothing is sent before the agent has
 * reported its clock, because each order is stamped with a deadline in that clock.
 */
final class AgentLinks implements AgentPort {

    /**
     * Most messages queued for one connection; further ones are reported as not sent, so that they can go elsewhere.
     */
    static final int MAX_WAITING = 1024;

    private static final Logger LOGGER = LogManager.getLogger(AgentLinks.class);
    private static final long IDLE_NANOS = Duration.ofMinutes(5).toNanos();
    private static final long SWEEP_NANOS = Duration.ofMinutes(1).toNanos();

    private final DecisionRing ring;
    private final TimerService timers;
    private final WireTransport transport;
    private final AgentListener listener;
    private final Map<InetSocketAddress, Link> links = new HashMap<>();

    AgentLinks(DecisionRing ring, TimerService timers, WireTransport transport, AgentListener listener) {
        this.ring = ring;
        this.timers = timers;
        this.transport = transport;
        this.listener = listener;
    }

    /** Starts the periodic closing of idle connections. */
    void start() {
        timers.schedule(SWEEP_NANOS, this::sweep);
    }

    @Override
    public void send(InetSocketAddress agent, WireMessage message) {
        link(agent).send(new Made(message, timers.nanoTime()));
    }

    @Override
    public boolean isOpen(InetSocketAddress agent) {
        Link link = links.get(agent);
        return link != null && link.clock.isPresent();
    }

    @Override
    public long clockMicros(InetSocketAddress agent, long incarnation) {
        // Connects if there is no connection, so that the clock is known next time.
        return link(agent)
                .clock
                .filter(clock -> clock.incarnation() == incarnation)
                .map(AgentClock::readingMicros)
                .orElse(0L);
    }

    private Link link(InetSocketAddress agent) {
        Link link = links.get(agent);
        if (link == null) {
            link = new Link(agent);
            links.put(agent, link);
            link.connect();
        }
        return link;
    }

    private void sweep() {
        timers.schedule(SWEEP_NANOS, this::sweep);
        long limit = timers.nanoTime() - IDLE_NANOS;
        links.values().stream()
                .filter(link -> link.peer != null && link.usedAt < limit)
                .forEach(link -> link.peer.close());
    }

    private void reportNotSent(WireMessage message) {
        timers.schedule(0, () -> listener.onNotSent(message));
    }

    /** A message and the time it was created, in nanoseconds of the timer service. */
    private record Made(WireMessage message, long createdAt) {}

    /** One connection to an agent. */
    private final class Link implements PeerListener {
        private final InetSocketAddress address;
        private final List<Made> waiting = new ArrayList<>();
        private Optional<AgentClock> clock = Optional.empty();
        private Peer peer;
        private long usedAt = timers.nanoTime();

        private Link(InetSocketAddress address) {
            this.address = address;
        }

        private void connect() {
            transport.connect(address, this).whenComplete((channel, failure) -> {
                if (failure != null) {
                    ring.offerWithRetry(this::onFailed, transport.scheduler());
                } else {
                    failWithoutGreeting(channel);
                }
            });
        }

        private void failWithoutGreeting(Channel channel) {
            // A peer that accepts and never sends its greeting is closed without onOpen and onClose. Without this
            // listener, all messages to that agent would be queued here until the deadlines of their requests.
            channel.closeFuture().addListener(closed -> ring.offerWithRetry(this::onFailed, transport.scheduler()));
        }

        private void send(Made queued) {
            usedAt = timers.nanoTime();
            WireMessage message = queued.message();
            if (peer != null && clock.isPresent()) {
                Optional<? extends WireMessage> stamped = message instanceof AttemptOrderMessage order
                        ? clock.get().stamp(order, queued.createdAt(), usedAt)
                        : Optional.of(message);
                if (stamped.isEmpty() || !peer.send(stamped.get())) {
                    reportNotSent(message);
                }
            } else if (message instanceof AttemptCancelMessage cancel && withdraw(cancel.attemptId())) {
                LOGGER.debug("event=order-withdrawn attempt={}", cancel.attemptId());
            } else if (waiting.size() < MAX_WAITING) {
                waiting.add(queued);
            } else {
                reportNotSent(message);
            }
        }

        private boolean withdraw(String attemptId) {
            return waiting.removeIf(m -> m.message() instanceof AttemptOrderMessage order
                    && order.attemptId().equals(attemptId));
        }

        private void onFailed() {
            links.remove(address, this);
            List<Made> unsent = List.copyOf(waiting);
            waiting.clear();
            unsent.forEach(queued -> listener.onNotSent(queued.message()));
        }

        private void receive(WireMessage message) {
            if (message instanceof LoadReportMessage report) {
                clock = Optional.of(AgentClock.of(report, timers.nanoTime()));
                List<Made> ready = List.copyOf(waiting);
                waiting.clear();
                ready.forEach(this::send);
            } else {
                usedAt = timers.nanoTime();
            }
            listener.onMessage(address, message);
        }

        @Override
        public boolean onOpen(Peer opened) {
            return ring.offer(() -> {
                peer = opened;
                opened.send(new LoadSubscribeMessage());
            });
        }

        @Override
        public boolean onMessage(Peer from, WireMessage message) {
            return ring.offer(() -> receive(message));
        }

        @Override
        public boolean onClose(Peer closed) {
            return ring.offer(() -> {
                onFailed();
                listener.onLinkLost(address);
            });
        }
    }
}
