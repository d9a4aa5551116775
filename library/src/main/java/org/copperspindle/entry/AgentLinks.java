package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.agent.AgentClock;
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
 * One entry's connections to agents, opened on first use. Nothing is sent before the agent has told its clock, because
 * each order is stamped with it.
 */
final class AgentLinks {

    private final DecisionRing ring;
    private final TimerService timers;
    private final WireTransport transport;
    private final AgentLinkListener listener;
    private final Map<InetSocketAddress, Link> links = new HashMap<>();

    AgentLinks(DecisionRing ring, TimerService timers, WireTransport transport, AgentLinkListener listener) {
        this.ring = ring;
        this.timers = timers;
        this.transport = transport;
        this.listener = listener;
    }

    /**
     * Sends a message, connecting first where needed.
     *
     * @param address the agent
     * @param message the message
     */
    void send(InetSocketAddress address, WireMessage message) {
        link(address).send(new Made(message, timers.nanoTime()));
    }

    /**
     * Returns what is known of an agent's clock, connecting if it is not connected, so that it is known next time.
     *
     * @param address     the agent
     * @param incarnation the life that is meant
     * @return a reading in microseconds, 0 if none of that life is known
     */
    long clockMicros(InetSocketAddress address, long incarnation) {
        return link(address)
                .clock
                .filter(clock -> clock.incarnation() == incarnation)
                .map(AgentClock::readingMicros)
                .orElse(0L);
    }

    private Link link(InetSocketAddress address) {
        Link link = links.get(address);
        if (link == null) {
            link = new Link(address);
            links.put(address, link);
            Link opened = link;
            transport.connect(address, link).whenComplete((channel, failure) -> {
                if (failure != null) {
                    ring.offerUntilTaken(opened::failed, transport.scheduler());
                } else {
                    // A connection that ends before both sides have greeted is reported by nobody else.
                    channel.closeFuture()
                            .addListener(closed -> ring.offerUntilTaken(opened::failed, transport.scheduler()));
                }
            });
        }
        return link;
    }

    /** Hears what comes from agents, on the decision ring. */
    interface AgentLinkListener {

        /** A message arrived. */
        void onMessage(WireMessage message);

        /** A message was not sent: no byte of it left this process. */
        void onNotSent(WireMessage message);

        /** The connection ended; what was sent may or may not have arrived. */
        void onLinkLost(InetSocketAddress address);
    }

    private record Made(WireMessage message, long at) {}

    /** One connection. */
    private final class Link implements PeerListener {
        private final InetSocketAddress address;
        private final List<Made> waiting = new ArrayList<>();
        private Optional<AgentClock> clock = Optional.empty();
        private Peer peer;

        private Link(InetSocketAddress address) {
            this.address = address;
        }

        private void send(Made made) {
            if (peer == null || clock.isEmpty()) {
                waiting.add(made);
                return;
            }
            Optional<? extends WireMessage> stamped = made.message() instanceof AttemptOrderMessage order
                    ? clock.get().stamp(order, made.at())
                    : Optional.of(made.message());
            if (stamped.isEmpty() || !peer.send(stamped.get())) {
                listener.onNotSent(made.message());
            }
        }

        private void receive(WireMessage message) {
            if (message instanceof LoadReportMessage report) {
                clock = Optional.of(AgentClock.of(report, timers.nanoTime()));
                List<Made> ready = List.copyOf(waiting);
                waiting.clear();
                ready.forEach(this::send);
            }
            listener.onMessage(message);
        }

        private void failed() {
            links.remove(address, this);
            List<Made> unsent = List.copyOf(waiting);
            waiting.clear();
            unsent.forEach(made -> listener.onNotSent(made.message()));
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
                failed();
                listener.onLinkLost(address);
            });
        }
    }
}
