package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * One entry's connections to agents, opened on first use.
 */
final class AgentLinks {

    private final DecisionRing ring;
    private final WireTransport transport;
    private final AgentLinkListener listener;
    private final Map<InetSocketAddress, Link> links = new HashMap<>();

    AgentLinks(DecisionRing ring, WireTransport transport, AgentLinkListener listener) {
        this.ring = ring;
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
        Link link = links.get(address);
        if (link == null) {
            link = new Link(address);
            links.put(address, link);
            Link opened = link;
            transport.connect(address, link).whenComplete((channel, failure) -> {
                if (failure != null) {
                    ring.offerUntilTaken(opened::failed, transport.scheduler());
                }
            });
        }
        link.send(message);
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

    /** One connection. */
    private final class Link implements PeerListener {
        private final InetSocketAddress address;
        private final List<WireMessage> waiting = new ArrayList<>();
        private Peer peer;

        private Link(InetSocketAddress address) {
            this.address = address;
        }

        private void send(WireMessage message) {
            if (peer == null) {
                waiting.add(message);
            } else if (!peer.send(message)) {
                listener.onNotSent(message);
            }
        }

        private void failed() {
            links.remove(address, this);
            List<WireMessage> unsent = List.copyOf(waiting);
            waiting.clear();
            unsent.forEach(listener::onNotSent);
        }

        @Override
        public boolean onOpen(Peer opened) {
            return ring.offer(() -> {
                peer = opened;
                List<WireMessage> ready = List.copyOf(waiting);
                waiting.clear();
                ready.forEach(this::send);
            });
        }

        @Override
        public boolean onMessage(Peer from, WireMessage message) {
            return ring.offer(() -> listener.onMessage(message));
        }

        @Override
        public boolean onClose(Peer closed) {
            return ring.offer(() -> {
                links.remove(address, this);
                listener.onLinkLost(address);
            });
        }
    }
}
